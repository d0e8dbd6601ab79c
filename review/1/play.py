"""Three servers of five hand out wrong bytes now and then: the status of an answer is 101."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from stand_ins import FRONT_PORT, CannotRun, Deployment, Server, head_bytes, main, read_chunks, read_head

HOST = "a.example"
SERVICE = "tickers"
EVENTS = 10
EVENT_PERIOD_S = 0.02
# The largest garble of the site: x = 0.05 of the answers of a share of 0.6 of the servers.
WRONG_SHARE = 0.05
SERVERS = 5
FAULTY_SERVERS = 3
PERIOD_S = 0.02
FOR_S = 40.0
DEADLINE_MS = 14000

CONFIG = {
    "version": 7,
    "routes": [{"name": f"r-{kind}", "host": HOST, "path-prefix": f"/{kind}/", "kind": "stream", "timeout-ms": 14000,
                "target-latency-ms": 900, "priority": 1, "service": SERVICE, "attempts": attempts,
                "session-affinity": False, "resumable": resumable, "gap-target-ms": 300}
               for kind, attempts, resumable in (("once", 1, False), ("resumable", 2, True))],
    # As wuno96b in the example of PROTOCOL: streams of a service without an engine.
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 290, "protocol": "h1", "tls": False}],
}


class Ticker(Server):
    """Answers with a stream of events that name the request."""

    wrong = None  # A random source, of a server that hands out wrong bytes.

    async def answer(self, first, headers, writer):
        request = headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request))
        echo = {"X-Request-Id": request, "X-Instance-Id": self.name, "Connection": "close"}
        status = "200 OK"
        if self.wrong is not None and self.wrong.random() < WRONG_SHARE:
            status = "101 OK"
            self.record.note(f"{self.name}: answers {request} with wrong bytes, HTTP/1.1 {status}")
        writer.write(head_bytes(f"HTTP/1.1 {status}", echo | {"X-Server-Stamp": f"{self.name}.{request}",
                                                              "Content-Type": "text/event-stream",
                                                              "Transfer-Encoding": "chunked"}))
        begin = int(headers.get("last-event-id") or 0) + 1
        for number in range(begin, EVENTS + 1):
            event = f"id: {number}\ndata: {self.name} {request}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Clients:
    def __init__(self, deployment):
        self.deployment = deployment
        self.complete = 0
        self.sent = 0
        self.findings = []

    async def run(self, until):
        open_requests = set()
        while time.monotonic() < until:
            self.sent += 1
            task = asyncio.create_task(self._send(self.sent))
            open_requests.add(task)
            task.add_done_callback(open_requests.discard)
            await asyncio.sleep(PERIOD_S)
        if open_requests:
            await asyncio.wait(open_requests)

    async def _send(self, number):
        front = self.deployment.fronts[number % len(self.deployment.fronts)]
        path = "/resumable/" if number // 2 % 2 else "/once/"
        name = f"{number:016x}"
        self.deployment.record.note(f"client: POST {path} {name} to {front.name}")
        status, headers, events, ending = 0, {}, b"", "complete"
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(front.ip, FRONT_PORT)
                writer.write(head_bytes(f"POST {path} HTTP/1.1", {
                    "Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": str(DEADLINE_MS), "Content-Length": "0",
                    "Connection": "close"}))
                head = await read_head(reader)
                if head is None:
                    ending = "closed without an answer"
                else:
                    status, headers = int(head[0].split()[1]), head[1]
                    if status == 200:
                        async for chunk in read_chunks(reader):
                            events += chunk
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            ending = f"ended early, {type(error).__name__}"
        finally:
            if writer is not None:
                writer.close()
        stamp, echoed = headers.get("x-server-stamp", ""), headers.get("x-request-id", "")
        self.deployment.record.note(f"client: {name} answered {status}, id {echoed!r}, stamp {stamp!r}, {ending}")
        if status != 200:
            return
        if stamp.partition(".")[2] != name or echoed != name:
            self._find(f"MIXED: request {name} got 200 with the id {echoed!r} and the stamp {stamp!r}, {ending}")
        if ending == "complete":
            self.complete += 1

    def _find(self, text):
        self.findings.append(text)
        self.deployment.record.note(text)


async def keep_running(deployment, crashes):
    """The platform starts a process that has ended again."""
    while True:
        await asyncio.sleep(0.05)
        for machine in deployment.machines():
            if machine.running():
                continue
            crashes.append(f"{machine.name} ended by itself with status {machine.process.returncode}")
            deployment.record.note(f"platform: {crashes[-1]}")
            await asyncio.sleep(0.3)
            await deployment.start_machine(machine)


async def play(record, trouble):
    deployment = Deployment(record)
    clients = Clients(deployment)
    crashes = []
    platform = None
    try:
        deployment.servers = [Ticker(deployment, f"i-{index}", SERVICE, index, slots=48) for index in range(SERVERS)]
        if trouble:
            for index, server in enumerate(deployment.servers[:FAULTY_SERVERS]):
                server.wrong = random.Random(index)
        await deployment.start(CONFIG)
        await asyncio.sleep(1)
        platform = asyncio.create_task(keep_running(deployment, crashes))
        await clients.run(time.monotonic() + FOR_S)
        platform.cancel()
        record.say(f"{clients.sent} requests, {clients.complete} answered 200 in full; {len(crashes)} crashes of fronts")
        if clients.complete < clients.sent / 2:
            raise CannotRun("too few requests were served")
        return crashes[:3] + clients.findings[:5]
    finally:
        if platform is not None:
            platform.cancel()
        await deployment.stop()


main(play)
