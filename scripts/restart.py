"""Makes many changes, kills a voter and measures its restart.

Usage: restart.py [--changes N]

Prints the time from the start of the process to its readiness, the time of the
changes and the disk use. The exit code is 1 when a target was missed.
"""

import argparse
import concurrent.futures
import os
import pathlib
import signal
import sys
import time

import live_bench
import local_deployment as local

TARGET_RESTART_S = 1.0
TARGET_IN_FORCE_P99_S = 1.0
OPERATORS = 8


def make_changes(deployment, count):
    latencies = []
    names = [i["name"] for i in deployment.instances()]

    def change(number):
        text = f'change id "many-{number}" {{ set class "long" first_token = {800 + number % 100}ms }}'
        start = time.monotonic()
        for _ in range(5):
            _, answer = deployment.admin("change", text, names[number % len(names)])
            if answer.get("accepted") and answer.get("in_force"):
                return time.monotonic() - start
        raise SystemExit(f"change {number} was not made: {answer}")

    with concurrent.futures.ThreadPoolExecutor(OPERATORS) as pool:
        latencies.extend(pool.map(change, range(count)))
    return sorted(latencies)


def disk_bytes(folder):
    return sum(path.stat().st_size for path in pathlib.Path(folder).rglob("*") if path.is_file())


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--changes", type=int, default=10000)
    arguments = parser.parse_args()
    deployment = live_bench.Deployment("kaewmanee")
    try:
        start = time.monotonic()
        latencies = make_changes(deployment, arguments.changes)
        elapsed = time.monotonic() - start
        p99 = latencies[int(len(latencies) * 0.99)]
        voter = deployment.instances()[0]
        pid = deployment.pid(voter["name"])
        os.kill(pid, signal.SIGKILL)
        deployment.wait_gone(voter["name"])
        start = time.monotonic()
        local.restart_process(deployment.folder, voter["name"])
        while local.call(voter["caller_url"] + "/readyz")[0] != 200:
            time.sleep(0.005)
        ready = time.monotonic() - start
        _, state = local.call(voter["admin_url"] + "/admin/v1/state", deployment.token("admin"))
        disk = disk_bytes(deployment.folder / "data" / voter["name"]) / 1e6
    finally:
        deployment.stop()
    print(f"{len(latencies)} changes by {OPERATORS} operators in {elapsed:.1f} s: in force everywhere after p50 "
          f"{latencies[len(latencies) // 2] * 1000:.1f} ms, p99 {p99 * 1000:.1f} ms "
          f"(target <= {TARGET_IN_FORCE_P99_S} s)")
    print(f"restart after them: ready after {ready:.3f} s (target <= {TARGET_RESTART_S} s), "
          f"revision {state['revision']}, {disk:.1f} MB on disk")
    lost = state["revision"] < arguments.changes + 1
    if lost:
        print("changes were lost")
    return 1 if lost or ready > TARGET_RESTART_S or p99 > TARGET_IN_FORCE_P99_S else 0


if __name__ == "__main__":
    sys.exit(main())
