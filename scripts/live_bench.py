"""Live runs against a loopback deployment with faults, for `make bench`.

Usage: live_bench.py [--quick] [--only NAME[,NAME…]] [--seed N] [--report FILE]

Each run starts a deployment, generates load, injects its faults, lets the load
tool check the recorded history against the invariants, and stops the
deployment. The exit code is 1 when a run failed.
"""

import argparse
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import local_deployment as local

SERVICES = {
    "kaewmanee": ("fitting-assistant", "kiosk-lookup", "stock"),
    "association": ("registry-assistant", "member-lookup", "allocations"),
}


class Deployment:
    """A running deployment, with methods that inject faults into it."""

    def __init__(self, name, relays=False):
        self.name = name
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-bench-"))
        self.folder.rmdir()
        self.faults = self.folder / "faults.jsonl"
        if relays:
            os.environ["CASSIAUSHER_RELAYS"] = "1"
        try:
            local.up(name, self.folder)
        finally:
            os.environ.pop("CASSIAUSHER_RELAYS", None)

    def stop(self):
        local.down(self.folder)

    def entries(self):
        return json.loads((self.folder / "addresses.json").read_text())

    def instances(self):
        return self.entries()["instances"]

    def pid(self, name):
        document = self.entries()
        everything = document["instances"] + document["endpoints"] + document.get("relays", [])
        return next(entry["pid"] for entry in everything if entry["name"] == name)

    def record(self, fault, target, duration_ms=0):
        with open(self.faults, "a") as log:
            log.write(json.dumps({"fault": fault, "target": target, "unix_ms": int(time.time() * 1000),
                                  "duration_ms": duration_ms}) + "\n")

    def kill(self, name, back_after=2.0):
        self.record("kill", name)
        os.kill(self.pid(name), signal.SIGKILL)
        self.wait_gone(name)
        time.sleep(back_after)
        local.restart_process(self.folder, name)

    def terminate(self, name):
        self.record("term", name)
        os.kill(self.pid(name), signal.SIGTERM)
        self.wait_gone(name)
        local.restart_process(self.folder, name)

    def wait_gone(self, name, seconds=60):
        deadline = time.monotonic() + seconds
        while local.is_running(self.pid(name)):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{name} did not end in {seconds} s")
            time.sleep(0.02)

    def freeze(self, names, seconds):
        for name in names:
            self.record("stop", name, int(seconds * 1000))
            os.kill(self.pid(name), signal.SIGSTOP)
        time.sleep(seconds)
        for name in names:
            os.kill(self.pid(name), signal.SIGCONT)

    def set_fake_fault(self, name, fault):
        url = next(e["url"] for e in self.entries()["endpoints"] if e["name"] == name)
        self.record("fake", name)
        local.call(url + "/fake/fault", None, fault)

    def ready(self, name, seconds=20):
        url = next(i["caller_url"] for i in self.instances() if i["name"] == name)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if local.call(url + "/readyz")[0] == 200:
                return
            time.sleep(0.05)
        raise RuntimeError(f"{name} is not ready after {seconds} s")

    def token(self, kind):
        return (self.folder / (kind + ".token")).read_text().strip()

    def admin(self, path, text, name=None, timeout=15):
        instances = self.instances()
        instance = next((i for i in instances if i["name"] == name), instances[0])
        return local.call(f"{instance['admin_url']}/admin/v1/{path}", self.token("admin"), {"text": text}, timeout)


# Callers that cancel, retry with the same idempotency key, or send non-idempotent requests; they lower goodput
# themselves.
DISTURBING_CALLERS = ("--cancel-share", "0.05", "--retry-share", "0.2", "--non-idempotent-share", "0.3")


def load(deployment, seconds, rate, seed, callers):
    long, short, plain = SERVICES[deployment.name]
    command = [
        str(local.BIN / "cassiausher_load"), "--addresses", str(deployment.folder / "addresses.json"),
        "--token-file", str(deployment.folder / "caller.token"), "--rate", str(rate), "--seconds", str(seconds),
        "--concurrency", "3000", "--mix", f"{long}=0.45,{short}=0.45,{plain}=0.1",
        "--prompt-tokens", f"{long}=1500:0.6,{short}=40:0.3,{plain}=10:0.1",
        "--targets", f"{long}=860:42,{short}=300:42,{plain}=0:0",
        "--history", str(deployment.folder / "history.jsonl"), "--check", "--seed", str(seed),
        "--format", "json", *callers]
    deployment.faults.touch()
    command += ["--faults", str(deployment.faults)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


def run(name, deployment_name, rate, seconds, inject_faults, seed, relays=False, callers=DISTURBING_CALLERS):
    deployment = Deployment(deployment_name, relays)
    try:
        process = load(deployment, seconds, rate, seed, callers)
        time.sleep(min(3, seconds / 4))
        findings = inject_faults(deployment) or []
        output, _ = process.communicate(timeout=seconds + 180)
        report = json.loads(output) if output.strip().startswith("{") else {"text": output}
        report["run"] = name
        report["exit"] = process.returncode
        report["findings"] = findings
        report["open_after"] = open_requests(deployment)
        return report
    finally:
        deployment.stop()


def open_requests(deployment):
    total = 0
    for instance in deployment.instances():
        _, state = local.call(instance["admin_url"] + "/admin/v1/state", deployment.token("admin"))
        total += state.get("open_requests", 0)
    return total


# ---- Faults of the runs ----------------------------------------------------


def no_faults(_):
    return []


def kill_non_voter(deployment):
    deployment.kill(deployment.instances()[1]["name"])


def kill_voter(deployment):
    deployment.kill(deployment.instances()[0]["name"])


def kill_two(deployment):
    """Kills the voter of one data centre and, once it has been restarted, the voter of another."""
    names = [i["name"] for i in deployment.instances()]
    deployment.kill(names[0], 1.0)
    deployment.kill(names[3], 1.0)


def freeze(deployment):
    deployment.freeze([deployment.instances()[2]["name"]], 6)


def rolling_restart(deployment):
    for instance in deployment.instances():
        deployment.terminate(instance["name"])
        deployment.ready(instance["name"])


def endpoint_of(deployment, role, index=0):
    long = SERVICES[deployment.name][0]
    matching = [e for e in deployment.entries()["endpoints"] if e["role"] == role and e["service"] == long]
    return matching[index]["name"]


def kill_decode(deployment):
    deployment.kill(endpoint_of(deployment, "decode"), 3.0)


def kill_prefill(deployment):
    deployment.kill(endpoint_of(deployment, "prefill"), 3.0)


def stall(deployment):
    deployment.set_fake_fault(endpoint_of(deployment, "decode"), {"stall_ms": 3000})
    time.sleep(4)
    deployment.set_fake_fault(endpoint_of(deployment, "prefill"), {"stall_ms": 2000})


def silence(deployment):
    for index in range(3):
        deployment.set_fake_fault(endpoint_of(deployment, "decode", index), {"silence": True})
        time.sleep(2)


def late_and_repeated(deployment):
    for index in range(6):
        deployment.set_fake_fault(endpoint_of(deployment, "decode", index), {"late_rate": 0.05, "repeat_rate": 0.05})


def refuse_cancels(deployment):
    name = endpoint_of(deployment, "decode")
    deployment.set_fake_fault(name, {"refuse_cancels": True})
    time.sleep(5)
    deployment.set_fake_fault(name, {"clear": True})


def depart(deployment):
    deployment.terminate(endpoint_of(deployment, "decode", 1))


def cut_data_centre(deployment):
    """Partitions one data centre by stopping its relays in both directions, then resumes them."""
    data_centre = deployment.instances()[0]["data_centre"]
    names = [r["name"] for r in deployment.entries()["relays"] if data_centre in (r["from"], r["to"])]
    deployment.record("cut", data_centre, 8000)
    for name in names:
        os.kill(deployment.pid(name), signal.SIGSTOP)
    time.sleep(3)
    findings = []
    other = next(i["name"] for i in deployment.instances() if i["data_centre"] != data_centre)
    _, answer = deployment.admin("change", 'change id "during-cut" { set class "long" first_token = 870ms }', other)
    if answer.get("accepted"):
        findings.append(f"a change was accepted while {data_centre} was cut off: {answer}")
    time.sleep(3)
    for name in names:
        os.kill(deployment.pid(name), signal.SIGCONT)
    time.sleep(4)
    _, answer = deployment.admin("change", 'change id "after-cut" { set class "long" first_token = 880ms }', other)
    if not (answer.get("accepted") and answer.get("in_force")):
        findings.append(f"a change after the cut was not in force: {answer}")
    return findings


def many_endpoint_faults(deployment):
    """Kills, stalls and silences endpoints and makes them send late and repeated chunks, for a minute."""
    late_and_repeated(deployment)
    kill_decode(deployment)
    silence(deployment)
    stall(deployment)
    kill_prefill(deployment)
    late_and_repeated(deployment)
    silence(deployment)
    deployment.kill(endpoint_of(deployment, "decode", 3), 3.0)
    deployment.freeze([endpoint_of(deployment, "decode", 4)], 5)
    kill_decode(deployment)


def random_pair(seed):
    def inject(deployment):
        rng = random.Random(seed)
        kinds = [kill_non_voter, kill_voter, freeze, kill_decode, kill_prefill, stall, silence, late_and_repeated]
        first, second = rng.sample(kinds, 2)
        other = threading.Thread(target=first, args=(deployment,))
        other.start()
        time.sleep(rng.random() * 2)
        second(deployment)
        other.join()
        return []
    return inject


# ---- Operators -------------------------------------------------------------


class Operators:
    """Concurrent operators whose changes expect the same revision and are sometimes repeated."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.answers = {}
        self.latencies = []
        self.findings = []
        self.lock = threading.Lock()
        self.stopped = False

    def submit(self, change_id, text, name):
        start = time.monotonic()
        status, answer = self.deployment.admin("change", text, name, 15)
        elapsed = time.monotonic() - start
        if status != 200 or "accepted" not in answer:
            return None
        with self.lock:
            if answer["accepted"] and answer["in_force"]:
                self.latencies.append(elapsed)
            before = self.answers.get(change_id)
            if before is None:
                self.answers[change_id] = (answer["accepted"], answer["revision"], text)
            elif before[:2] != (answer["accepted"], answer["revision"]):
                self.findings.append(f"{change_id}: {before[:2]}, then {answer}")
        return answer

    def submit_changes(self, operator):
        rng = random.Random(f"{operator}-{self.random.random()}")
        names = [i["name"] for i in self.deployment.instances()]
        number = 0
        while not self.stopped:
            number += 1
            name = rng.choice(names)
            _, query = self.deployment.admin("query", "show instances limit 1", name, 5)
            if "revision" not in query:
                continue
            change_id = f"op{operator}-{number}"
            text = (f'change id "{change_id}" at revision {query["revision"]} '
                    f'{{ set class "long" first_token = {800 + rng.randrange(200)}ms }}')
            self.submit(change_id, text, name)
            if rng.random() < 0.3:
                self.submit(change_id, text, rng.choice(names))
            time.sleep(rng.random() * 0.1)

    def check(self):
        accepted_by_revision = {}
        for change_id, (accepted, revision, _) in self.answers.items():
            if accepted and accepted_by_revision.setdefault(revision, change_id) != change_id:
                self.findings.append(f"revision {revision} was assigned to both {accepted_by_revision[revision]} "
                                     f"and {change_id}")
        revisions = set()
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            revisions = {local.call(i["admin_url"] + "/admin/v1/state", self.deployment.token("admin"))[1].get("revision")
                         for i in self.deployment.instances()}
            if len(revisions) == 1:
                break
            time.sleep(0.2)
        if len(revisions) != 1:
            self.findings.append(f"instances report different revisions: {revisions}")
        elif accepted_by_revision and max(accepted_by_revision) > max(revisions):
            self.findings.append(f"revision {max(accepted_by_revision)} was accepted, {revisions} is in force: "
                                 f"a change was lost")
        for change_id in random.Random(1).sample(sorted(self.answers), min(50, len(self.answers))):
            self.submit(change_id, self.answers[change_id][2], None)
        return accepted_by_revision


def concurrent_operators(seed, inject_faults):
    def inject(deployment):
        operators = Operators(deployment, seed)
        threads = [threading.Thread(target=operators.submit_changes, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        inject_faults(deployment)
        time.sleep(3)
        operators.stopped = True
        for thread in threads:
            thread.join()
        accepted_by_revision = operators.check()
        latencies = sorted(operators.latencies) or [0]
        print(f"  {len(operators.answers)} changes by 8 operators, {len(accepted_by_revision)} accepted, "
              f"in force after p50 {latencies[len(latencies) // 2] * 1000:.0f} ms, "
              f"p99 {latencies[int(len(latencies) * 0.99)] * 1000:.0f} ms", flush=True)
        return operators.findings
    return inject


def inject_voter_faults(deployment):
    names = [i["name"] for i in deployment.instances()]
    voters = [i["name"] for i in deployment.instances() if i["has_disk"]]
    time.sleep(2)
    deployment.kill(voters[0], 1.0)
    time.sleep(3)
    deployment.freeze([voters[1]], 5)
    time.sleep(2)
    deployment.terminate(names[1])
    deployment.ready(names[1])


def runs(seed, quick):
    """Returns tuples of name, deployment, requests/s, seconds, fault function and relays."""
    everything = [
        ("steady", "kaewmanee", 60, 15, no_faults, False),
        ("overload", "association", 250, 15, no_faults, False),
        ("kill-entry", "kaewmanee", 60, 15, kill_non_voter, False),
        ("kill-voter", "association", 60, 15, kill_voter, False),
        ("kill-two", "kaewmanee", 60, 20, kill_two, False),
        ("freeze", "kaewmanee", 60, 18, freeze, False),
        ("rolling-restart", "association", 60, 40, rolling_restart, False),
        ("kill-decode", "kaewmanee", 60, 15, kill_decode, False),
        ("kill-prefill", "kaewmanee", 60, 15, kill_prefill, False),
        ("stall", "association", 60, 18, stall, False),
        ("silence", "kaewmanee", 60, 18, silence, False),
        ("late-and-repeated", "association", 60, 12, late_and_repeated, False),
        ("refuse-cancels", "kaewmanee", 60, 15, refuse_cancels, False),
        ("depart", "association", 60, 15, depart, False),
        ("cut-data-centre", "kaewmanee", 40, 25, cut_data_centre, True),
        ("ten-thousand", "association", 150, 70, many_endpoint_faults, False),
        ("operators", "kaewmanee", 10, 12, concurrent_operators(seed, no_faults), False),
        ("operators-disturbed", "kaewmanee", 10, 30, concurrent_operators(seed, inject_voter_faults), False),
    ]
    pairs = [(f"pair-{s}", "kaewmanee", 60, 22, random_pair(s), False) for s in range(seed, seed + 3)]
    if quick:
        return [r for r in everything if r[0] in ("steady", "kill-entry", "kill-decode", "operators")]
    return everything + pairs


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="only four of the runs")
    parser.add_argument("--only", default="", help="comma-separated names of runs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", default="", help="file for all reports as JSON")
    arguments = parser.parse_args()
    only = set(filter(None, arguments.only.split(",")))
    reports = []
    failed = []
    for name, deployment, rate, seconds, inject_faults, relays in runs(arguments.seed, arguments.quick):
        if only and name not in only:
            continue
        print(f"{name}: {deployment}, {rate} requests/s for {seconds} s", flush=True)
        report = run(name, deployment, rate, seconds, inject_faults, arguments.seed, relays)
        reports.append(report)
        violations = report.get("violations")
        bad = report["exit"] != 0 or report["findings"] or report["open_after"] != 0
        if bad:
            failed.append(name)
        print(f"  exit {report['exit']}, violations {json.dumps(violations)[:600]}, findings {report['findings'][:5]}, "
              f"open after {report['open_after']}", flush=True)
        for row in report.get("services", []):
            print("  " + json.dumps(row), flush=True)
    if arguments.report:
        pathlib.Path(arguments.report).write_text(json.dumps(reports, indent=1))
    print(f"{len(reports) - len(failed)} passed, {len(failed)} failed")
    for name in failed:
        print(f"failed: {name}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
