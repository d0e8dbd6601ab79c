"""Measures one instance: added latency, requests/s, streamed tokens/s, open
streams and memory, with fake endpoints that answer as fast as they can.

Usage: speed.py [--seconds S]

Added latency is the difference between the same load sent through the instance
and directly to a fake endpoint, in the same run. The exit code is 1 when a
target was missed.
"""

import argparse
import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile

os.environ.setdefault("CASSIAUSHER_STEP_MS", "0")
os.environ.setdefault("CASSIAUSHER_PREFILL_RATE", "50000000")
os.environ.setdefault("CASSIAUSHER_SLOTS", "4000")
os.environ.setdefault("CASSIAUSHER_SERVING_TASKS", "4")
os.environ.setdefault("CASSIAUSHER_OUTPUT_TOKENS", "400")

import local_deployment as local  # noqa: E402 - reads the environment set above

SERVICE = "kiosk-lookup"
RUNNERS = 4
OPEN_STREAMS = 10000
DEPLOYMENT = {
    "data_centres": ["bkk-pathum"],
    "instances": [1],
    "long": "fitting-assistant",
    "short": SERVICE,
    "plain": "stock",
    "endpoints": [(f"k{n}", SERVICE, "decode") for n in range(RUNNERS)],
}


def run(folder, arguments, direct=None):
    command = [str(local.BIN / "cassiausher_load")]
    if direct:
        command += ["direct", "--url", direct, "--service", SERVICE]
    else:
        command += ["--addresses", str(folder / "addresses.json"), "--token-file", str(folder / "caller.token"),
                    "--mix", SERVICE + "=1"]
    command += ["--prompt-tokens", "40,0.1", "--format", "json", *arguments]
    output = subprocess.run(command, capture_output=True, text=True, check=False).stdout
    return json.loads(output)


def service(report):
    return next(row for row in report["services"] if row["offered"])


def open_streams(table):
    """Measures streams of 4 tokens/s each that are all open at once."""
    os.environ["CASSIAUSHER_STEP_MS"] = "250"
    local.STEP_MS = 250
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    # Two descriptors per stream; see FitToDescriptorLimit in main/daemon/main.cc.
    wanted = OPEN_STREAMS if hard_limit == resource.RLIM_INFINITY else min(OPEN_STREAMS, (hard_limit - 400) // 2)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-streams-")) / "deployment"
    local.up_deployment(DEPLOYMENT, folder)
    try:
        pid = json.loads((folder / "addresses.json").read_text())["instances"][0]["pid"]
        before = local.memory_mb(pid)
        report = service(run(folder, ["--rate", "1500", "--concurrency", str(wanted), "--seconds", "10",
                                      "--requests", str(wanted), "--max-tokens", "60"]))
        table.row(f"open streams answered whole, of {wanted}", f">= {wanted}", report["answered"],
                  report["answered"] >= wanted)
        print(f"  first token p99 {report['ttft_p99_ms']:.0f} ms, between tokens p99 {report['tbt_p99_ms']:.0f} ms at a "
              f"step of 250 ms, {(local.memory_mb(pid) - before) * 1024 / wanted:.0f} KB of memory a stream")
    finally:
        local.down(folder)


class Table:
    def __init__(self):
        self.missed = 0

    def row(self, metric, target, value, reached):
        self.missed += 0 if reached else 1
        print(f"{metric:<58}{target:>14}{value:>14.3f}  {'' if reached else 'missed'}", flush=True)


def measure(folder, seconds, table):
    addresses = json.loads((folder / "addresses.json").read_text())
    pid = addresses["instances"][0]["pid"]
    endpoint = addresses["endpoints"][0]["url"]
    one = ["--rate", "0", "--concurrency", "1", "--seconds", str(seconds), "--max-tokens", "200"]
    run(folder, one[:-2] + ["--max-tokens", "20"])
    direct = service(run(folder, one, endpoint))
    through = service(run(folder, one))
    table.row("added to a first token, p50, ms", "<= 1", through["ttft_p50_ms"] - direct["ttft_p50_ms"],
              through["ttft_p50_ms"] - direct["ttft_p50_ms"] <= 1)
    added = (through["whole_p50_ms"] - through["ttft_p50_ms"] - direct["whole_p50_ms"] + direct["ttft_p50_ms"]) / 100
    table.row("added per streamed token, p50, ms", "<= 0.1", added, added <= 0.1)

    many = run(folder, ["--rate", "0", "--concurrency", "128", "--seconds", str(seconds), "--max-tokens", "1",
                        "--stream-share", "0"])
    rate = service(many)["answered"] / many["seconds"]
    table.row("requests/s of one instance", ">= 2000", rate, rate >= 2000)
    before = local.memory_mb(pid)
    streams = run(folder, ["--rate", "0", "--concurrency", "64", "--seconds", str(seconds), "--max-tokens", "400"])
    tokens = service(streams)["tokens"] / streams["seconds"]
    table.row("streamed tokens/s of one instance", ">= 100000", tokens, tokens >= 100000)
    run(folder, ["--rate", "0", "--concurrency", "64", "--seconds", str(seconds), "--max-tokens", "400"])
    run(folder, ["--rate", "0", "--concurrency", "64", "--seconds", str(seconds), "--max-tokens", "400"])
    growth = local.memory_mb(pid) - before
    table.row("memory growth over three more runs, MB", "<= 16", growth, growth <= 16)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=int, default=4)
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-speed-")) / "deployment"
    table = Table()
    local.up_deployment(DEPLOYMENT, folder)
    try:
        measure(folder, arguments.seconds, table)
    finally:
        local.down(folder)
    open_streams(table)
    return 1 if table.missed else 0


if __name__ == "__main__":
    sys.exit(main())
