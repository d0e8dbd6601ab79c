"""Runs the policy bench over a matrix of cases and compares the results with the
targets.

Usage: policy_figures.py [--seeds N] [--seconds S]

Prints one line per target with the worst value over all seeds and deployments.
The exit code is 1 when a target was missed.
"""

import argparse
import collections
import concurrent.futures
import json
import os
import subprocess
import sys

import local_deployment as local

DEPLOYMENTS = ("kaewmanee", "association")
LOADS = ("0.8", "0.95", "1.5", "3")
FAULTS = ("decode-death", "prefill-death", "link-stall", "cancel-storm", "stale-load")
BASELINES = ("round_robin", "least_loaded", "greedy_no_reservation")


def bench(job):
    deployment, load, fault, seed, seconds, policy, only_short = job
    command = [str(local.BIN / "cassiausher_policy_bench"), "--deployment", deployment, "--load", load, "--fault",
               fault, "--seed", str(seed), "--seconds", str(seconds), "--policy", policy, "--format", "json"]
    if only_short:
        command.append("--only-short")
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    return job, {row["policy"]: row for row in json.loads(output)}


class Targets:
    def __init__(self):
        self.rows = collections.OrderedDict()

    def at_least(self, metric, target, value, where):
        self.add(metric, f">= {target}", value >= target, value, where, value)

    def at_most(self, metric, target, value, where):
        self.add(metric, f"<= {target}", value <= target, value, where, -value)

    def add(self, metric, target, reached, value, where, score):
        worst = self.rows.get(metric)
        missed = (worst[5] if worst else 0) + (0 if reached else 1)
        total = (worst[6] if worst else 0) + 1
        if worst is None or score < worst[4]:
            self.rows[metric] = (target, value, where, reached, score, missed, total)
        else:
            self.rows[metric] = worst[:5] + (missed, total)

    def print(self):
        print(f"{'metric':<66}{'target':>10}{'worst':>10}  {'missed':>8}  at")
        for metric, (target, value, where, _, _, missed, total) in self.rows.items():
            print(f"{metric:<66}{target:>10}{value:>10.4f}  {missed:>4}/{total:<3}  {where}")
        return sum(row[5] for row in self.rows.values())


def short_class(row):
    return next(entry for entry in row["class"] if entry["name"] == "short")


def check(results, targets):
    shared = []
    for (deployment, load, fault, seed, seconds, policy, only_short), rows in results.items():
        if only_short or "reserving" not in rows:
            continue
        reserving = rows["reserving"]
        where = f"{deployment} load {load} {fault} seed {seed}"
        targets.at_most("violations", 0, reserving["violations"], where)
        if fault == "none" and load in ("0.8", "0.95"):
            targets.at_least(f"goodput at load {load}, no fault", 0.99 if load == "0.8" else 0.95,
                             reserving["goodput"], where)
        if fault == "none" and load in ("1.5", "3"):
            targets.at_least(f"goodput of capacity at load {load}, no fault", 0.90,
                             reserving["goodput_of_capacity"], where)
            targets.at_least(f"lowest goodput of a class at load {load}", 0.05,
                             min(c["goodput"] for c in reserving["class"]), where)
        if load == "0.9":
            limit = {"none": 0.01, "decode-death": 0.05, "cancel-storm": 0.05}.get(fault)
            if limit is not None:
                wasted = reserving["wasted_prefill"]
                if fault == "cancel-storm":
                    wasted -= reserving["wasted_prefill_cancelled_when_done"]
                targets.at_most(f"wasted prefill at 0.9, {fault}", limit, wasted, where)
        if policy == "all" and fault == "none" and load in ("0.95", "1.5"):
            best = max((rows[name] for name in BASELINES), key=lambda row: row["goodput"])
            targets.at_least(f"goodput above the best baseline at {load}", 0.0,
                             reserving["goodput"] - best["goodput"] - 1e-9, where + f" ({best['policy']})")
            targets.at_most(f"wasted prefill less half the best baseline's at {load}", 0.0,
                            reserving["wasted_prefill"] - best["wasted_prefill"] / 2, where + f" ({best['policy']})")
        alone = results.get((deployment, load, fault, seed, seconds, "reserving", True))
        if alone is not None and fault == "none" and policy == "all":
            ratio = short_class(reserving)["ttft_p99_ms"] / short_class(alone["reserving"])["ttft_p99_ms"]
            targets.at_most("lookups' p99 first token at 0.95, beside / alone", 1.2, ratio, where)
            shared.append(short_class(reserving)["ttft_p99_shared_pool_ms"] /
                          short_class(alone["reserving"])["ttft_p99_shared_pool_ms"])
    print(f"lookups in pools that they share with long work (no target of their own): p99 first token "
          f"{min(shared):.1f} to {max(shared):.1f} times the same lookups alone")
    for name, limit in (("pool-12", 10.0), ("pool-600", 40.0)):
        for (deployment, _, _, _, _, _, _), rows in results.items():
            if deployment == name:
                targets.at_most(f"decision p99 in us, {name}", limit, rows["reserving"]["decision_us_p99"], name)


def jobs(seeds, seconds):
    for seed in seeds:
        for deployment in DEPLOYMENTS:
            for load in LOADS:
                yield deployment, load, "none", seed, seconds, "all", False
            yield deployment, "0.95", "none", seed, seconds, "reserving", True
            for fault in ("none",) + FAULTS:
                yield deployment, "0.9", fault, seed, 2 * seconds, "reserving", False


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=int, default=60)
    arguments = parser.parse_args()
    results = {}
    # Decision times are measured, so parallel runs must not share a core.
    workers = max(1, (os.cpu_count() or 2) // 2)
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for job, rows in pool.map(bench, jobs(range(1, arguments.seeds + 1), arguments.seconds)):
            results[job] = rows
    for name in ("pool-12", "pool-600"):
        job, rows = bench((name, "0.95", "none", 1, 10, "reserving", False))
        results[job] = rows
    targets = Targets()
    check(results, targets)
    missed = targets.print()
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
