"""Runs both reference deployments for a few seconds and prints their results.

Goodput, latencies and violations are measured by callers of live processes;
wasted prefill comes from the policy bench, which accounts for every prompt
token.
"""

import json
import subprocess
import sys

import live_bench
import local_deployment as local

RATE = 50
SECONDS = 8
BENCH_LOAD = "0.9"
BENCH_SECONDS = "60"


def live(deployment):
    report = live_bench.run("demo", deployment, RATE, SECONDS, live_bench.no_faults, seed=1, callers=())
    print(f"{deployment}: {RATE} requests/s for {SECONDS} s through live processes")
    print(f"  {'service':<20}{'goodput':>9}{'first token p50/p95/p99 ms':>30}{'between tokens p50/p95 ms':>28}")
    for row in report["services"]:
        first = f"{row['ttft_p50_ms']:.1f} / {row['ttft_p95_ms']:.1f} / {row['ttft_p99_ms']:.1f}"
        between = f"{row['tbt_p50_ms']:.1f} / {row['tbt_p95_ms']:.1f}"
        print(f"  {row['name']:<20}{row['goodput']:>9.3f}{first:>30}{between:>28}")
    print(f"  violations: {report['violations']}")
    return report["exit"] == 0 and report["violations"] == 0 and report["open_after"] == 0


def bench(deployment):
    output = subprocess.run(
        [str(local.BIN / "cassiausher_policy_bench"), "--deployment", deployment, "--load", BENCH_LOAD,
         "--seed", "1", "--seconds", BENCH_SECONDS, "--fault", "none", "--policy", "reserving", "--format", "json"],
        check=True, capture_output=True, text=True).stdout
    result = json.loads(output)[0]
    print(f"  policy bench at load {BENCH_LOAD}: goodput {result['goodput']:.4f}, "
          f"wasted prefill {result['wasted_prefill']:.4f}, violations {result['violations']}")
    return result["violations"] == 0


def main():
    passed = True
    for deployment in ("kaewmanee", "association"):
        passed = live(deployment) and passed
        passed = bench(deployment) and passed
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
