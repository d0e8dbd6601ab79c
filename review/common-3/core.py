"""Core machines of a small deployment on loopback: the project's control processes, and an operator that calls them.

Each machine has an address of its own in 127.0.0.0/8, a folder for its disk and a settings file with the fields of
deploy/node.json.tmpl. Only processes that were started here are signalled, each by its own process object.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL_COMMAND = [str(ROOT / "target/bin/cassiausher_node"), "control"]
ZONES = ("bkk-pathum", "bkk-bangna", "bkk-ladprao")
PEER_PORT = 7660
CONTROL_PORT = 8146
METRICS_PORT = 9464
# Of the entry instance and the runners of small.py.
OTHER_PORTS = (7675, 8140, 8144, 8400)
GRACE_S = 8
CALL_TIMEOUT_S = 1.0


def free_block():
    """The second number of a block 127.x of addresses whose ports are free."""
    for offset in range(100):
        block = 60 + (os.getpid() + offset) % 100
        try:
            for last in range(1, 10):
                for port in (PEER_PORT, CONTROL_PORT, METRICS_PORT) + OTHER_PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"127.{block}.0.{last}", port))
            return block
        except OSError:
            continue
    raise RuntimeError("no block of addresses is free")


class Machine:
    """One machine of the core. `seeds` are control addresses as the operator's list has them at the start."""

    def __init__(self, name, ip, zone, folder, record):
        self.name, self.ip, self.zone, self.record = name, ip, zone, record
        self.folder = pathlib.Path(folder) / name
        self.folder.mkdir(parents=True)
        self.process = None

    def start(self, seeds, bootstrap):
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps({
            "instance": self.name, "address": self.ip, "data_centre": self.zone,
            "listen": {"control": f"{self.ip}:{CONTROL_PORT}", "readiness": ""},
            "peer_port": PEER_PORT, "seeds": seeds, "first_start": bootstrap,
            "data_folder": str(self.folder / "data"), "shutdown_grace_s": GRACE_S,
            "quotas": {"window_s": None, "overage": None, "slack": None}, "limits": {"memory_mb": 256},
            "retry_budget": {"ratio": 0.2, "allowance": 52}}))
        (self.folder / "data").mkdir(exist_ok=True)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(CONTROL_COMMAND, cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "CASSIAUSHER_SETTINGS": str(settings)})
        self.record(f"{self.name} ({self.ip}) starts, bootstrap {str(bootstrap).lower()}")

    def address(self):
        return f"{self.ip}:{CONTROL_PORT}"

    def remove(self):
        """SIGTERM, SIGKILL after the grace period; the machine never comes back."""
        self.record(f"{self.name} gets SIGTERM and is removed for good")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self.record(f"{self.name} has ended with status {self.process.wait()}")

    def lose_disk(self):
        """Loses power and its disk."""
        self.process.kill()
        self.process.wait()
        shutil.rmtree(self.folder / "data")
        self.record(f"{self.name} loses power and its disk")

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Operator:
    """Sends an order again, unchanged, to the next machine until it has a clear answer."""

    def __init__(self, record):
        self.record = record

    def call(self, machine, method, body=None):
        """(status, body); status 0 without an answer."""
        connection = http.client.HTTPConnection(machine.ip, CONTROL_PORT, timeout=CALL_TIMEOUT_S)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, "/api/config", body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def put(self, machines, configuration, for_s):
        """Returns whether it was acknowledged."""
        body = json.dumps(configuration).encode()
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            for machine in machines:
                status, _ = self.call(machine, "PUT", body)
                if status == 200:
                    self.record(f"version {configuration['version']} is acknowledged by {machine.name}")
                    return True
            time.sleep(0.1)
        self.record(f"version {configuration['version']} has no acknowledgement after {for_s} s")
        return False

    def read(self, machines):
        """(name, status, version) for each machine; the version is None without a 200."""
        results = []
        for machine in machines:
            status, body = self.call(machine, "GET")
            results.append((machine.name, status, json.loads(body)["version"] if status == 200 else None))
        return results


def configuration(version):
    return {
        "version": version,
        "routes": [{"name": "r-kiosk", "host": "kiosk.example", "path-prefix": "/size/", "kind": "safe",
                    "timeout-ms": 600 + version, "target-latency-ms": 100, "priority": 2, "service": "kiosk-app",
                    "attempts": 2, "session-affinity": False, "resumable": False}],
        "services": [{"name": "kiosk-app", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000}}
