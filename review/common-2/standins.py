"""Stand-ins for clients, the operator and runners, and the record of what they saw."""

import asyncio
import json
import os
import pathlib
import sys
import time

from deployment import CALLER_PORT, CONTROL_PORT, READY_PORT, RUNNER_PORT, ZONES, CannotRun

HOST = "a.example"
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 20


class Record:
    """Lines for record.txt, with seconds since the start of the run."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.began = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Answer:

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def __str__(self):
        end = "" if self.complete else ", cut"
        return f"{self.status}, stamp {self.headers.get('x-server-stamp', 'none')}, {len(self.body)} bytes{end}"


def parse_head(head):
    """First line and headers, whose names are in lower case."""
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in fields}


async def read_answer(reader):
    """Null if the connection ends before the answer's head."""
    try:
        first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    length = int(headers.get("content-length", 0))
    try:
        return Answer(int(first.split(" ")[1]), headers, await reader.readexactly(length), True)
    except asyncio.IncompleteReadError as error:
        return Answer(int(first.split(" ")[1]), headers, error.partial, False)
    except ConnectionError:
        return Answer(int(first.split(" ")[1]), headers, b"", False)


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(ip, port, method, path, headers=None, body=b"", timeout_s=1.0):
    """One request on a connection of its own. Null without an answer in time."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(request_bytes(method, path, {"Host": HOST} | (headers or {}), body))
            return await read_answer(reader)
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (asyncio.TimeoutError, OSError):
        return None


class Runner:
    """A sound runner of a plain service: announces itself, runs what it is sent and keeps a list of it."""

    def __init__(self, deployment, index, service, record, work_s=0.015):
        self.deployment, self.service, self.record, self.work_s = deployment, service, record, work_s
        self.zone = ZONES[index % len(ZONES)]
        self.ip = f"127.{deployment.block}.3.{1 + index}"
        self.id = f"i-{index:04x}{os.getpid() % 65536:04x}"
        self.sequence = 0
        self.control = index
        # (id of the request, method, target, body) of each request that ran.
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, RUNNER_PORT, limit=1 << 23)
        self.beats = asyncio.create_task(self._beat())

    async def stop(self):
        self.beats.cancel()
        self.server.close()

    async def _beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{RUNNER_PORT}", "zone": self.zone, "version": "v1",
                    "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": self.sequence}
            controls = self.deployment.controls
            answer = await call(controls[self.control % len(controls)].ip, CONTROL_PORT, "PUT",
                                f"/api/instances/{self.id}", {"Content-Type": "application/json"},
                                json.dumps(body).encode())
            acknowledged = answer is not None and answer.status == 200
            self.control += 0 if acknowledged else 1
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.1)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(method, target, headers, body, writer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body, writer):
        request = headers.get("x-request-id", "")
        refusal = {"X-Request-Id": request, "X-Instance-Id": self.id, "X-Not-Executed": "1"}
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(self._message(421, refusal, b""))
        elif not request:
            writer.write(self._message(400, refusal, b""))
        else:
            self.runs.append((request, method, target, body))
            self.record.add(f"runner {self.id} of {self.service} runs {request}: {method} {target}, {len(body)} bytes")
            await self.handle_run(request, writer)

    async def handle_run(self, request, writer):
        """Works on the request and writes the whole answer."""
        await asyncio.sleep(self.work_s)
        headers = {"X-Request-Id": request, "X-Instance-Id": self.id, "X-Server-Stamp": f"{self.id}.1"}
        writer.write(self._message(200, headers, f"{self.service} {request}".encode()))

    @staticmethod
    def _message(status, headers, body):
        lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items()),
                 f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body


def route(name, prefix, service, kind, timeout_ms, attempts=1):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": 100, "priority": 2, "service": service, "attempts": attempts,
            "session-affinity": False, "resumable": False, "gap-target-ms": 300}


def configuration(routes, services):
    return {"version": 7, "routes": routes,
            "services": [{"name": name, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


async def serve(deployment, runners, document, record):
    """Starts all and returns once each entry instance is ready and serves."""
    deployment.start()
    for runner in runners:
        await runner.start()
    body = json.dumps(document).encode()
    deadline = time.monotonic() + START_TIMEOUT_S
    acknowledged = False
    while not acknowledged:
        if time.monotonic() > deadline:
            raise CannotRun("the configuration wasn't acknowledged")
        for control in deployment.controls:
            answer = await call(control.ip, CONTROL_PORT, "PUT", "/api/config", {"Content-Type": "application/json"}, body)
            acknowledged = acknowledged or (answer is not None and answer.status == 200)
        await asyncio.sleep(0.1)
    record.add("the operator's configuration is acknowledged")
    for entry in deployment.entries:
        while not await is_ready(entry):
            if time.monotonic() > deadline:
                raise CannotRun(f"{entry.name} isn't ready")
            await asyncio.sleep(0.1)
    # Each heartbeat has reached each instance by then, and the machines are in touch (contact-ms 3,000).
    await asyncio.sleep(4)
    record.add("all entry instances are ready")


async def is_ready(entry, timeout_s=1.0):
    answer = await call(entry.ip, READY_PORT, "GET", "/api/ready", timeout_s=timeout_s)
    return answer is not None and answer.status == 200


def main(play, folder):
    """Runs `play(record, trouble)`, which returns whether the rule was broken, and exits with 1, 0 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("with the disruption" if trouble else "without the disruption")
    try:
        status = 1 if asyncio.run(play(record, trouble)) else 0
    except (CannotRun, OSError) as error:
        record.add(f"the case can't run: {error}")
        status = 2
    record.add(("the rule held", "the rule was broken", "not played")[status])
    record.write()
    print(record.lines[-1])
    sys.exit(status)

