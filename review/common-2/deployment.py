"""Starts the instances of a small deployment on loopback addresses and stops them.

Standard library only. Only processes that were started here are signalled.
"""

import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = pathlib.Path("target/bin/cassiausher_node")
PEER_PORT, RELAY_PORT = 7660, 7675
READY_PORT, CALLER_PORT, CONTROL_PORT, RUNNER_PORT = 8140, 8144, 8146, 8080
ZONES = ("bkk-pathum", "bkk-bangna", "bkk-ladprao")
# As on the sheet of kfl-fitting.
MEMORY_MB = {"entry": 110, "control": 256}
MAX_DESCRIPTORS = {"entry": 4100, "control": 4096}
GRACE_S = 8
FIRST_BLOCK, BLOCKS = 20, 200


class CannotRun(Exception):
    """The case can't be played here."""


def raise_own_descriptor_limit(needed):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= needed:
        return
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise CannotRun(f"{needed} descriptors are needed, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def reserve_block():
    """A second number of 127.x.y.z that no other run uses, and the socket that keeps it."""
    for offset in range(BLOCKS):
        block = FIRST_BLOCK + (os.getpid() + offset) % BLOCKS
        holder = socket.socket()
        try:
            holder.bind((f"127.{block}.250.1", PEER_PORT))
            return block, holder
        except OSError:
            holder.close()
    raise CannotRun("no block of loopback addresses is free")


class Instance:
    """One machine of the system: an entry or a control instance."""

    def __init__(self, deployment, role, index):
        self.deployment, self.role = deployment, role
        self.zone = ZONES[index % len(ZONES)]
        self.ip = f"127.{deployment.block}.{1 if role == 'entry' else 2}.{1 + index}"
        self.name = f"{'front' if role == 'entry' else 'core'}-{self.zone}-{1 + index // len(ZONES)}"
        self.folder = deployment.folder / self.name
        self.process = None
        self.bootstrap = True

    def settings(self):
        """What deploy/node.json.tmpl makes of the platform's settings."""
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"}
        if self.role == "entry":
            listen = {"callers": f"{self.ip}:{CALLER_PORT}", "relay": f"{self.ip}:{RELAY_PORT}",
                      "readiness": f"{self.ip}:{READY_PORT}"}
        return {
            "instance": self.name, "address": self.ip, "data_centre": self.zone, "listen": listen,
            "peer_port": PEER_PORT, "seeds": [f"{control.ip}:{CONTROL_PORT}" for control in self.deployment.controls[:3]],
            "first_start": self.bootstrap, "data_folder": str(self.folder / "data") if self.role == "control" else "",
            "shutdown_grace_s": GRACE_S, "quotas": {"window_s": None, "overage": None, "slack": None},
            "limits": {"memory_mb": MEMORY_MB[self.role]}, "retry_budget": {"ratio": 0.2, "allowance": 52}
        }

    def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings()))
        limit = MAX_DESCRIPTORS[self.role]
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [str(BINARY), self.role], cwd=ROOT, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp", "LANG": "C",
                     "CASSIAUSHER_SETTINGS": str(path)})
        self.bootstrap = False

    def running(self):
        return self.process is not None and self.process.poll() is None

    def resident_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            return next((int(line.split()[1]) for line in status if line.startswith("VmRSS:")), 0)

    def log(self):
        return (self.folder / "log").read_text(errors="replace")


class Deployment:

    def __init__(self, entries=2, controls=3):
        if not (ROOT / BINARY).exists():
            raise CannotRun(f"{BINARY} isn't built")
        self.block, self.holder = reserve_block()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-review-"))
        self.controls = [Instance(self, "control", index) for index in range(controls)]
        self.entries = [Instance(self, "entry", index) for index in range(entries)]

    def start(self):
        for instance in self.controls + self.entries:
            instance.start()

    def stop(self):
        started = [instance for instance in self.controls + self.entries if instance.process is not None]
        for instance in started:
            if instance.running():
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in started:
            instance.process.wait()
        self.holder.close()
        shutil.rmtree(self.folder, ignore_errors=True)
