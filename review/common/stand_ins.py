"""Stand-ins for clients, servers and the platform, and the processes under test, all on loopback.

Uses only the standard library of Python 3.11. Every process of the system has an address of its own in 127.0.0.0/8,
as the machines of a deployment have. Only processes started here are signalled, each by its process object.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
NODE = "target/bin/cassiausher_node"  # The commands of deploy/system.toml.

PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, RELAY_PORT, SERVER_PORT = 7660, 7670, 7672, 7673, 7661, 8400
RESERVATION_PORT = 7659
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.2
HEARTBEAT_ACK_S = 1.0

# Bounds of the site sheet (SYSTEM, kfl-fitting).
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8
CONFIG_APPLY_S = 2.0
RETRY_RATIO, BUDGET_SLACK = 0.2, 52


class CannotRun(Exception):
    """The case couldn't run; says nothing of the rule."""


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


# --- HTTP, as much as the stand-ins need -------------------------------------


async def read_head(reader):
    """Returns the first line and the headers (lowercase names), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises IncompleteReadError if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head_bytes(first_line, headers):
    return (first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode()


async def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    """One request on a new connection. Returns (status, headers, body); status 0 without a complete answer."""
    data = b"" if body is None else json.dumps(body).encode()
    sent = {"Host": f"{ip}:{port}", "Connection": "close", "Content-Type": "application/json",
            "Content-Length": str(len(data))} | (headers or {})
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head_bytes(f"{method} {path} HTTP/1.1", sent) + data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


# --- Processes of the system -------------------------------------------------


class Machine:
    """One machine with one process of the system."""

    def __init__(self, role, name, ip, zone, folder):
        self.role, self.name, self.ip, self.zone, self.folder = role, name, ip, zone, folder
        self.process = None
        self.first_start = True

    def running(self):
        return self.process is not None and self.process.returncode is None


class Deployment:
    def __init__(self, record, fronts=2, cores=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.reservation, self.block = self._reserve_block()
        self.fronts = [self._machine("entry", f"front-{i}", i, 0) for i in range(fronts)]
        self.cores = [self._machine("control", f"core-{i}", i, 100) for i in range(cores)]
        self.servers = []
        self.ready_misses = {}
        self.tasks = []

    def _reserve_block(self):
        for offset in range(200):
            block = 16 + (os.getpid() + offset) % 200
            holder = socket.socket()
            try:
                holder.bind((f"127.{block}.250.1", RESERVATION_PORT))
                return holder, block
            except OSError:
                holder.close()
        raise CannotRun("no block of loopback addresses is free")

    def _machine(self, role, name, index, offset):
        return Machine(role, name, f"127.{self.block}.{offset}.{1 + index}", ZONES[index % len(ZONES)],
                       self.folder / name)

    def server_ip(self, index):
        return f"127.{self.block}.200.{1 + index}"

    def machines(self):
        return self.cores + self.fronts

    def _settings(self, machine):
        """deploy/node.json.tmpl, filled in."""
        listen = {"readiness": f"{machine.ip}:{READY_PORT}"}
        if machine.role == "entry":
            listen |= {"callers": f"{machine.ip}:{FRONT_PORT}", "relay": f"{machine.ip}:{RELAY_PORT}"}
        else:
            listen |= {"control": f"{machine.ip}:{CONTROL_PORT}"}
        return {
            "instance": machine.name, "address": machine.ip, "data_centre": machine.zone, "listen": listen,
            "peer_port": PEER_PORT, "seeds": [f"{core.ip}:{CONTROL_PORT}" for core in self.cores[:3]],
            "first_start": machine.first_start,
            "data_folder": str(machine.folder / "data") if machine.role == "control" else "",
            "shutdown_grace_s": GRACE_S, "retry_budget": {"ratio": RETRY_RATIO, "allowance": BUDGET_SLACK}
        }

    async def start_machine(self, machine):
        machine.folder.mkdir(parents=True, exist_ok=True)
        settings = machine.folder / "boot.json"
        settings.write_text(json.dumps(self._settings(machine)))
        with open(machine.folder / "log", "ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                str(REPOSITORY / NODE), machine.role, stdout=log, stderr=log, cwd=REPOSITORY,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "CASSIAUSHER_SETTINGS": str(settings)})
        machine.first_start = False
        self.record.note(f"platform: started {machine.name} at {machine.ip}, process {machine.process.pid}")

    async def kill(self, machines, back_after_s):
        """SIGKILL to all at the same moment, then new processes on the same disks."""
        for machine in machines:
            machine.process.send_signal(signal.SIGKILL)
        self.record.note("platform: SIGKILL " + ", ".join(machine.name for machine in machines))
        await asyncio.gather(*(machine.process.wait() for machine in machines))
        await asyncio.sleep(back_after_s)
        await asyncio.gather(*(self.start_machine(machine) for machine in machines))

    async def put_config(self, document, timeout_s=30.0):
        """The operator: tries the machines that serve control until one acknowledges."""
        deadline = time.monotonic() + timeout_s
        for core in itertools.cycle(self.cores):
            status, _, _ = await call(core.ip, CONTROL_PORT, "PUT", "/api/config", document)
            self.record.note(f"operator: PUT version {document['version']} to {core.name}: {status}")
            if status == 200:
                return time.monotonic()
            if time.monotonic() > deadline:
                raise CannotRun("no machine acknowledged the configuration")
            await asyncio.sleep(0.2)

    async def ready(self, front):
        status, _, _ = await call(front.ip, READY_PORT, "GET", "/api/ready")
        return status == 200

    async def wait_ready(self, fronts, timeout_s=30.0):
        deadline = time.monotonic() + timeout_s
        for front in fronts:
            while not await self.ready(front):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{front.name} isn't ready")
                await asyncio.sleep(0.1)
            self.record.note(f"platform: {front.name} is ready")

    async def start(self, document):
        if not (REPOSITORY / NODE).exists():
            raise CannotRun(f"{NODE} isn't built")
        await asyncio.gather(*(self.start_machine(machine) for machine in self.machines()))
        await self.put_config(document)
        for server in self.servers:
            await server.start()
        await self.wait_ready(self.fronts)

    async def stop(self):
        for server in self.servers:
            await server.stop()
        for machine in self.machines():
            if machine.running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
        self.reservation.close()
        shutil.rmtree(self.folder, ignore_errors=True)


# --- Servers -----------------------------------------------------------------


class Server:
    """A sound server: heartbeats, and answers to requests. Notes each request that reaches it."""

    def __init__(self, deployment, name, service, index, version="v1", slots=6, work_s=0.015):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.service, self.version, self.slots, self.work_s = name, service, version, slots, work_s
        self.ip = deployment.server_ip(index)
        self.zone = ZONES[index % len(ZONES)]
        self.sequence = 0
        self.arrivals = []  # (time, request id)
        self.core = itertools.cycle(deployment.cores)
        self.listener = None
        self.beats = None
        self.is_cut_off = False

    def cut_off(self, cut):
        """Whether packets between this server and the core are dropped."""
        self.is_cut_off = cut
        self.record.note(f"network: {self.name} is {'cut off from' if cut else 'joined to'} the core")

    async def call_core(self, core, method, body=None):
        if self.is_cut_off:
            await asyncio.sleep(HEARTBEAT_ACK_S)
            return 0
        status, _, _ = await call(core.ip, CONTROL_PORT, method, f"/api/instances/{self.name}", body,
                                  timeout=HEARTBEAT_ACK_S)
        return status

    def heartbeat(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{SERVER_PORT}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": state, "cold-left-ms": 0,
                "seq": self.sequence}

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, self.ip, SERVER_PORT, backlog=512)
        self.beats = asyncio.create_task(self._announce())

    async def stop(self):
        if self.beats is not None:
            self.beats.cancel()
        if self.listener is not None:
            self.listener.close()

    async def _announce(self):
        core = next(self.core)
        while True:
            status = await self.call_core(core, "PUT", self.heartbeat())
            if status == 200:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                core = next(self.core)
                await asyncio.sleep(0.05)

    async def depart(self):
        """Tells that it leaves, without having reported `draining`. Returns when that was acknowledged."""
        self.beats.cancel()
        while True:
            core = next(self.core)
            status = await self.call_core(core, "DELETE")
            self.record.note(f"{self.name}: DELETE /api/instances/{self.name} at {core.name}: {status}")
            if 200 <= status < 300:
                return time.monotonic()

    async def _serve(self, reader, writer):
        try:
            head = await read_head(reader)
            if head is None:
                return
            first, headers = head
            await read_body(reader, headers)
            await self.answer(first, headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(self, first, headers, writer):
        request = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request, "X-Instance-Id": self.name, "Connection": "close"}
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(head_bytes("HTTP/1.1 421 Misdirected", echo | {"X-Not-Executed": "1", "Content-Length": "0"}))
            return await writer.drain()
        self.arrivals.append((time.monotonic(), request))
        self.record.note(f"{self.name}: runs {request} ({first})")
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {request}".encode()
        writer.write(head_bytes("HTTP/1.1 200 OK", echo | {"X-Server-Stamp": f"{self.name}.{request}",
                                                           "Content-Length": str(len(body))}) + body)
        await writer.drain()


# --- Clients -----------------------------------------------------------------


async def request(deployment, front, number, method, path, host, deadline_ms=600, body=None):
    """One client attempt. Returns (id, status, body)."""
    name = f"{number:016x}"
    headers = {"Host": host, "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms)}
    deployment.record.note(f"client: {method} {path} {name} to {front.name}")
    status, _, answer = await call(front.ip, FRONT_PORT, method, path, body, headers, timeout=deadline_ms / 1000)
    deployment.record.note(f"client: {name} answered {status} {answer[:60].decode('latin-1')}")
    return name, status, answer


def main(play):
    """Runs `play(record, trouble)`, which returns the findings, and exits: 0 held, 1 broken, 2 couldn't run."""
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(trouble)}")
    # Ends the processes as any other end does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def limited():
        async with asyncio.timeout(110):
            return await play(record, trouble)

    try:
        findings = asyncio.run(limited())
    except (CannotRun, TimeoutError) as error:
        record.say(f"could not run: {error!r}")
        sys.exit(2)
    for finding in findings:
        record.say(f"BROKEN {finding}")
    record.say("the rule was broken" if findings else "the rule held")
    sys.exit(1 if findings else 0)
