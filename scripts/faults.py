#!/usr/bin/env python3
"""Injects faults into the processes of a live deployment.

Only processes listed in addresses.json are affected. A killed or terminated
process is not restarted by this script. Each fault is written as one JSON line
{"fault","target","unix_ms","duration_ms"} for cassiausher_load --faults.

  faults.py random --addresses DIR/addresses.json --seed N --seconds S
      injects random faults, determined by the seed, for S seconds
  faults.py kill|stop|term NAME --addresses DIR/addresses.json
      kill -9, SIGSTOP and SIGCONT after --stop-seconds, or SIGTERM
  faults.py fake NAME '{"stall_ms":500}' --addresses DIR/addresses.json
      one POST /fake/fault
"""

import argparse
import json
import os
import random
import signal
import sys
import time
import urllib.error
import urllib.request

HTTP_TIMEOUT_S = 5
# Request bodies of /fake/fault by kind of fault; a rate stays in effect until "clear".
FAKE_FAULTS = {
    "stall": {"stall_ms": 800},
    "silence": {"silence": True},
    "late": {"late_rate": 0.05},
    "repeat": {"repeat_rate": 0.05},
    "error": {"error_rate": 0.1},
    "refuse_cancels": {"refuse_cancels": True},
    "die": {"die_after_tokens": 100},
}
PROCESS_FAULTS = ("kill", "stop", "term")


class Deployment:
    def __init__(self, path, log):
        with open(path) as file:
            document = json.load(file)
        self.instances = {p["name"]: p for p in document["instances"]}
        self.endpoints = {p["name"]: p for p in document["endpoints"]}
        self.log = log
        self.stopped = []
        self.terminated = set()

    def process(self, name):
        found = self.instances.get(name) or self.endpoints.get(name)
        if found is None:
            raise SystemExit(f"addresses.json does not list {name}")
        return found

    def record(self, fault, name, duration_ms=0):
        line = json.dumps({"fault": fault, "target": name, "unix_ms": int(time.time() * 1000),
                           "duration_ms": duration_ms})
        print(line, file=self.log, flush=True)

    def send(self, name, number):
        """Signals the process, unless its pid now belongs to another program."""
        pid = self.process(name)["pid"]
        try:
            with open(f"/proc/{pid}/cmdline", "rb") as command:
                program = os.path.basename(command.read().split(b"\0")[0])
        except OSError:
            program = b""
        if not program.startswith(b"cassiausher"):
            return False
        os.kill(pid, number)
        return True

    def kill(self, name):
        if self.send(name, signal.SIGKILL):
            self.terminated.add(name)
            self.record("kill", name)

    def term(self, name):
        if self.send(name, signal.SIGTERM):
            self.terminated.add(name)
            self.record("term", name)

    def stop(self, name, seconds):
        """Sends SIGSTOP; resume_due() or resume_all() sends the SIGCONT."""
        # Added first, so that resume_all() finds it if this script is terminated right after the signal.
        entry = (time.monotonic() + seconds, name)
        self.stopped.append(entry)
        if self.send(name, signal.SIGSTOP):
            self.record("stop", name, int(seconds * 1000))
        else:
            self.stopped.remove(entry)

    def resume_due(self, now):
        for due, name in [entry for entry in self.stopped if entry[0] <= now]:
            self.send(name, signal.SIGCONT)
            self.stopped.remove((due, name))

    def resume_all(self):
        self.resume_due(float("inf"))

    def fake(self, name, body):
        if name not in self.endpoints:
            raise SystemExit(f"{name} is not an endpoint")
        request = urllib.request.Request(self.endpoints[name]["url"] + "/fake/fault",
                                         data=json.dumps(body).encode(), method="POST")
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(request, timeout=HTTP_TIMEOUT_S):
                pass
        except urllib.error.HTTPError as error:
            raise SystemExit(f"{name}: {error.read().decode(errors='replace')}")
        except OSError as error:
            print(f"{name}: {error}", file=sys.stderr)
            return
        self.record("fake:" + ",".join(body), name)


def inject_random(deployment, options):
    rng = random.Random(options.seed)
    kinds = [kind for kind in options.kinds.split(",") if kind]
    unknown = [kind for kind in kinds if kind not in PROCESS_FAULTS and kind not in FAKE_FAULTS]
    if unknown:
        raise SystemExit("unknown kinds: " + ", ".join(unknown))
    end = time.monotonic() + options.seconds
    next_fault = time.monotonic()
    while time.monotonic() < end:
        next_fault += rng.expovariate(1 / options.every)
        kind = rng.choice(kinds)
        targets = deployment.endpoints if kind in FAKE_FAULTS else {**deployment.instances, **deployment.endpoints}
        name = rng.choice(sorted(targets))
        while time.monotonic() < min(next_fault, end):
            time.sleep(0.02)
            deployment.resume_due(time.monotonic())
        if time.monotonic() >= end or name in deployment.terminated:
            continue
        if kind in ("kill", "term") and len(deployment.terminated) >= options.most_gone:
            continue
        if kind == "stop":
            deployment.stop(name, options.stop_seconds)
        elif kind in PROCESS_FAULTS:
            getattr(deployment, kind)(name)
        else:
            deployment.fake(name, FAKE_FAULTS[kind])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("action", choices=("random", "fake") + PROCESS_FAULTS)
    parser.add_argument("name", nargs="?")
    parser.add_argument("body", nargs="?", type=json.loads)
    parser.add_argument("--addresses", required=True)
    parser.add_argument("--log", type=argparse.FileType("a"), default=sys.stdout, help="file for the fault records")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30, help="length of a random run")
    parser.add_argument("--every", type=float, default=5, help="mean time between faults in s")
    parser.add_argument("--stop-seconds", type=float, default=3, help="time between SIGSTOP and SIGCONT")
    parser.add_argument("--most-gone", type=int, default=1, help="processes that random kills and terms may end")
    parser.add_argument("--kinds", default=",".join(PROCESS_FAULTS + tuple(FAKE_FAULTS)),
                        help="kinds to draw from: " + ", ".join(PROCESS_FAULTS + tuple(FAKE_FAULTS)))
    options = parser.parse_args()
    invalid = [name for name in ("seconds", "every", "stop_seconds") if getattr(options, name) <= 0]
    if options.action != "random" and options.name is None:
        invalid.append("name")
    if options.action == "fake" and not isinstance(options.body, dict):
        invalid.append("body")
    if invalid:
        parser.error("missing or out of range: " + ", ".join(invalid))
    try:
        deployment = Deployment(options.addresses, options.log)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SystemExit(f"{options.addresses}: {error!r}")
    # Raises SystemExit, so that stopped processes are resumed when this script is terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        if options.action == "random":
            inject_random(deployment, options)
        elif options.action == "fake":
            deployment.fake(options.name, options.body)
        elif options.action == "stop":
            deployment.stop(options.name, options.stop_seconds)
            time.sleep(options.stop_seconds)
        else:
            deployment.process(options.name)
            getattr(deployment, options.action)(options.name)
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        deployment.resume_all()


if __name__ == "__main__":
    main()
