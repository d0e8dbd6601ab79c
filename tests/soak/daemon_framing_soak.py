"""Clients send requests whose framing isn't sound, and sound ones with trailers, to cassiausherd's listeners.

Checks what framing_soak.py does, but for what endpoints run.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
import urllib.parse

from odd_framing import Framings, check

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import local_deployment  # noqa: E402, its folder is not on the path before

DEPLOYMENT = {
    "data_centres": ["derby-hall"], "instances": [1], "long": "registry-assistant", "short": "member-lookup", "plain": "lookups",
    "endpoints": [("p1", "registry-assistant", "prefill"), ("d1", "registry-assistant", "decode")],
}


async def play(addresses, options):
    framings = Framings(random.Random(options.seed), "localhost", "/none")
    breaches, checks = [], 0
    until = time.monotonic() + options.seconds
    while time.monotonic() < until and len(breaches) < 20:
        for address in addresses:
            await check(address, framings, breaches)
            checks += 1
    print(f"{checks} checks")
    return breaches


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", type=pathlib.Path, help="cassiausherd; the other programs are beside it")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    local_deployment.BIN = options.binary.resolve().parent
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-daemon-framing-"))
    try:
        local_deployment.up_deployment(DEPLOYMENT, folder)
        instances = json.loads((folder / "addresses.json").read_text())["instances"]
        urls = [urllib.parse.urlsplit(instance[kind]) for instance in instances for kind in ("caller_url", "admin_url")]
        breaches = asyncio.run(play([(url.hostname, url.port) for url in urls], options))
    finally:
        local_deployment.down(folder)
    for breach in breaches:
        print(f"BREACH {breach}")
    if breaches:
        print(f"logs are kept in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"seed {options.seed}: {len(breaches)} breaches")
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main())
