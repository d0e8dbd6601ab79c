"""Measures the control overhead of idle instances: CPU time, memory and bytes
sent to other instances.

Usage: idle.py [--seconds S] [--deployment NAME]

Prints each instance and the worst value beside each target. The exit code is 1
when a target was missed.
"""

import argparse
import json
import os
import pathlib
import sys
import tempfile
import time
import urllib.request

import local_deployment as local

TARGET_CORE_SHARE = 0.012
TARGET_MEMORY_MB = 64
TARGET_BYTES_PER_SECOND = 3000


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def metrics(url):
    with urllib.request.urlopen(url + "/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines if not line.startswith("#")}


def sample(instance):
    values = metrics(instance["admin_url"])
    return (cpu_seconds(instance["pid"]), values.get("cassiausher_peer_bytes_sent_total", 0),
            values.get("cassiausher_peer_messages_sent_total", 0))


def measure(deployment, seconds):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-idle-")) / "deployment"
    local.up(deployment, folder)
    try:
        time.sleep(5)
        instances = json.loads((folder / "addresses.json").read_text())["instances"]
        before = [sample(i) for i in instances]
        start = time.monotonic()
        time.sleep(seconds)
        after = [sample(i) for i in instances]
        elapsed = time.monotonic() - start
        rows = []
        for instance, old, new in zip(instances, before, after):
            rows.append((instance["name"], (new[0] - old[0]) / elapsed, local.memory_mb(instance["pid"]),
                         (new[1] - old[1]) / elapsed, (new[2] - old[2]) / elapsed))
        return rows
    finally:
        local.down(folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--deployment", default="kaewmanee", choices=sorted(local.DEPLOYMENTS))
    arguments = parser.parse_args()
    rows = measure(arguments.deployment, arguments.seconds)
    print(f"{'instance':<20}{'core share':>12}{'memory MB':>12}{'bytes/s':>10}{'messages/s':>12}")
    for name, core, memory, sent, messages in rows:
        print(f"{name:<20}{core:>12.4f}{memory:>12.1f}{sent:>10.0f}{messages:>12.1f}")
    missed = 0
    for label, column, limit in (("core share", 1, TARGET_CORE_SHARE), ("memory MB", 2, TARGET_MEMORY_MB),
                                 ("bytes/s", 3, TARGET_BYTES_PER_SECOND)):
        worst = max(row[column] for row in rows)
        reached = worst <= limit
        missed += 0 if reached else 1
        print(f"worst {label}: {worst:.4f}, target <= {limit}{'' if reached else ', missed'}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
