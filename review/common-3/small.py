"""An entry machine, runners and clients beside the core of core.py: stand-ins that do what PROTOCOL.md says."""

import http.client
import http.server
import json
import os
import signal
import subprocess
import threading
import time

import core

ENTRY_COMMAND = [str(core.ROOT / "target/bin/cassiausher_node"), "entry"]
CALLER_PORT = 8144
READY_PORT = 8140
RELAY_PORT = 7675
RUNNER_PORT = 8400
HEARTBEAT_S = 1.2


class Entry(core.Machine):
    def start(self, seeds, bootstrap):
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps({
            "instance": self.name, "address": self.ip, "data_centre": self.zone,
            "listen": {"callers": f"{self.ip}:{CALLER_PORT}", "relay": f"{self.ip}:{RELAY_PORT}",
                       "readiness": f"{self.ip}:{READY_PORT}"},
            "peer_port": core.PEER_PORT, "seeds": seeds, "first_start": bootstrap, "data_folder": "",
            "shutdown_grace_s": core.GRACE_S, "quotas": {"window_s": None, "overage": None, "slack": None},
            "limits": {"memory_mb": 110}, "retry_budget": {"ratio": 0.2, "allowance": 52}}))
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(ENTRY_COMMAND, cwd=core.ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "CASSIAUSHER_SETTINGS": str(settings)})
        self.record(f"{self.name} ({self.ip}) starts, bootstrap {str(bootstrap).lower()}")


def change_seeds(machine, seeds):
    """The settings file names other seeds, and the process gets SIGHUP."""
    settings = machine.folder / "settings.json"
    changed = json.loads(settings.read_text()) | {"seeds": seeds}
    settings.write_text(json.dumps(changed))
    machine.process.send_signal(signal.SIGHUP)


class Runner:
    """A runner of a plain service. `runs` holds (request id, host, path) of what it ran."""

    def __init__(self, name, service, ip, zone):
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.runs = []
        self.controls = []
        self.acknowledged = threading.Event()
        self.stopped = threading.Event()
        runner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                self.rfile.read(length)
                request = self.headers.get("X-Request-Id", "")
                if self.headers.get("X-Expect-Instance", runner.name) != runner.name:
                    return self.reply(421, {"X-Instance-Id": runner.name}, b"")
                if not request:
                    return self.reply(400, {"X-Not-Executed": "1"}, b"")
                runner.runs.append((request, self.headers.get("Host", ""), self.path))
                return self.reply(200, {"X-Request-Id": request, "X-Instance-Id": runner.name,
                                        "X-Server-Stamp": f"stamp.{runner.name}"}, runner.name.encode())

            do_GET = do_POST = answer

            def reply(self, status, headers, body):
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer((ip, RUNNER_PORT), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def announce(self, controls):
        """`controls` is the list of control addresses; the caller may change it."""
        self.controls = controls
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        sequence = 0
        while not self.stopped.is_set():
            sequence += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.ip}:{RUNNER_PORT}", "zone": self.zone, "version": "v1",
                "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": sequence}).encode()
            for address in list(self.controls):
                if self._put(address, body):
                    self.acknowledged.set()
                    break
            self.stopped.wait(HEARTBEAT_S)

    def _put(self, address, body):
        ip, port = address.split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=1)
        try:
            connection.request("PUT", f"/api/instances/{self.name}", body, {"Content-Type": "application/json"})
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def stop(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()


def send(entry, request, host, path, timeout_s=1.0):
    """One client attempt on a new connection: (status, body); status 0 without an answer."""
    connection = http.client.HTTPConnection(entry.ip, CALLER_PORT, timeout=timeout_s)
    try:
        connection.putrequest("GET", path, skip_host=True, skip_accept_encoding=True)
        connection.putheader("Host", host)
        connection.putheader("X-Request-Id", request)
        connection.putheader("X-Deadline-Ms", str(int(timeout_s * 1000)))
        connection.endheaders()
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_until_ready(entry, for_s):
    end = time.monotonic() + for_s
    while time.monotonic() < end:
        connection = http.client.HTTPConnection(entry.ip, READY_PORT, timeout=1)
        try:
            connection.request("GET", "/api/ready")
            if connection.getresponse().status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.2)
    return False
