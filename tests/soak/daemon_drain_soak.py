"""cassiausherd instances stop one after another while callers and operators read large answers through small windows.

Checks that no answer is cut, that each process is gone before its shutdown limit ends, and that an answer which its
caller never reads is logged with the request's id.
"""

import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

import drain_checks
from slow_callers import DEADLINE_S, ConnectionEnded, SlowAttempt, SlowConnection, read_answer

SHUTDOWN_S = 6.0
# Typical tokens of an answer and their period: a stream ends well within the shutdown limit.
OUTPUT_TOKENS = 300
STEP_MS = 5
os.environ["CASSIAUSHER_SHUTDOWN_MS"] = str(int(1000 * SHUTDOWN_S))
os.environ["CASSIAUSHER_STEP_MS"] = str(STEP_MS)
os.environ["CASSIAUSHER_OUTPUT_TOKENS"] = str(OUTPUT_TOKENS)
os.environ["CASSIAUSHER_SLOTS"] = "200"

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import local_deployment  # noqa: E402, reads its environment when it is imported

PLAIN_SERVICE = "allocations"
RUNNER_SERVICE = "registry-assistant"
DATA_CENTRES = ["derby-hall", "nottingham-hall", "leicester-hall"]
DEPLOYMENT = {
    "data_centres": DATA_CENTRES, "instances": [2, 2, 2], "long": RUNNER_SERVICE, "short": "member-lookup",
    "plain": PLAIN_SERVICE, "endpoints": [("p1", RUNNER_SERVICE, "prefill"), ("d1", RUNNER_SERVICE, "decode")],
}
# A process ends only after its write to the disk, which other programs may delay for long; a folder in memory avoids that.
MEMORY_FOLDER = "/dev/shm" if os.path.isdir("/dev/shm") else None
LARGE_BYTES = (150_000, 400_000)
KEYED_BYTES = 40_000
# Classes that make the state dump and the answers to queries large.
FILLER_CLASSES = 1500
ANNOUNCE_PERIOD_S = 0.5
SITE_SHUTDOWN_S = 0.1
RELOADS_S = 0.2
CALLERS = 24
OPERATORS = 6
PIPELINED_SHARE = 0.3
MAX_REQUESTS_PER_CONNECTION = 6
LARGE, KEYED, STREAM, WHOLE, UNKNOWN = "/services/allocations/large", "/services/allocations/keyed", "stream", "whole", "/none"
CALLER_KINDS = (LARGE, LARGE, LARGE, KEYED, KEYED, STREAM, STREAM, WHOLE, UNKNOWN)
OPERATOR_KINDS = ("/admin/v1/state", "/admin/v1/query", "/admin/v1/change", "/metrics", "/announce")
STALLED_READ_BYTES = 4096
# A caller knows that an instance stops, from its readiness, this long after SIGTERM.
NOTICE_S = 0.1


class Instance:
    """One process of the deployment."""

    def __init__(self, address, folder):
        self.name = address["name"]
        self.data_centre = address["data_centre"]
        self.caller = endpoint_of(address["caller_url"])
        self.admin = endpoint_of(address["admin_url"])
        settings = json.loads((folder / "settings" / f"{self.name}.json").read_text())
        self.peer = endpoint_of(settings["listen"]["peer"])
        self.told_at = None
        # (SIGTERM, end of the process, exit status) of each planned stop.
        self.stops = []


def endpoint_of(url):
    ip, _, port = url.removeprefix("http://").partition(":")
    return ip, int(port)


class PlainEndpoint:
    """Answers at once with a large body and announces itself to the instances of its data centre."""

    def __init__(self, data_centre, passed_on, seed):
        self.name = f"{data_centre}-large"
        self.data_centre = data_centre
        self.passed_on = passed_on
        self.random = random.Random(seed)
        self.sequence = 0
        self.incarnation = time.time_ns() // 1000
        self.port = local_deployment.free_ports(1)[0]

    async def start(self):
        application = web.Application(client_max_size=1 << 20)
        application.router.add_route("*", "/{path:.*}", self.answer)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port, backlog=512, shutdown_timeout=SITE_SHUTDOWN_S).start()

    async def answer(self, request):
        self.passed_on.add(request.headers["X-Request-Id"].partition("~")[0])
        size = KEYED_BYTES if request.path == "/keyed" else self.random.randint(*LARGE_BYTES)
        return web.Response(body=b"x" * size)

    def announcement(self):
        self.sequence += 1
        load = {"sequence": self.sequence, "age_ms": 0, "running": 0, "waiting": 0, "queued_prompt_tokens": 0,
                "kv_bytes": 0}
        return {
            "name": self.name, "data_centre": self.data_centre, "service": PLAIN_SERVICE, "role": "plain",
            "url": f"http://127.0.0.1:{self.port}", "models": [PLAIN_SERVICE], "slots": 200, "kv_capacity_bytes": 6_553_600_000,
            "prefill_tokens_per_second": 20_000, "kv_bytes_per_token": 1000, "fencing": True, "incarnation": self.incarnation,
            "departing": False, "load": load, "cache_events": []
        }

    async def announce(self, run):
        headers = {"Authorization": f"Bearer {run.tokens['endpoint']}"}
        while True:
            for instance in run.instances:
                if instance.data_centre != self.data_centre:
                    continue
                try:
                    async with run.session.post(f"http://{instance.admin[0]}:{instance.admin[1]}/announce", headers=headers,
                                                json=self.announcement(), timeout=aiohttp.ClientTimeout(total=1)) as answer:
                        if answer.status == 200:
                            break
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    pass
            await asyncio.sleep(ANNOUNCE_PERIOD_S)


class Run:
    """The deployment, what its callers sent and what its operators asked."""

    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiausher-daemon-drain-", dir=MEMORY_FOLDER))
        self.attempts = []
        self.reads = []
        self.passed_on = set()
        self.log = []
        self.stopping = set()
        self.next_id = 0
        self.next_change = 0

    def start(self):
        local_deployment.up_deployment(DEPLOYMENT, self.folder)
        self.tokens = {kind: (self.folder / f"{kind}.token").read_text().strip() for kind in ("admin", "caller", "endpoint")}
        document = json.loads((self.folder / "addresses.json").read_text())
        self.instances = [Instance(address, self.folder) for address in document["instances"]]
        self.runner_urls = [endpoint["url"] for endpoint in document["endpoints"]]
        self.add_fillers()

    def add_fillers(self):
        lines = [f'create class "filler-{index}"' for index in range(FILLER_CLASSES)]
        text = 'change id "fillers" { ' + "; ".join(lines) + " }"
        ip, port = self.instances[0].admin
        local_deployment.wait_until("filler classes", lambda: local_deployment.call(
            f"http://{ip}:{port}/admin/v1/change", self.tokens["admin"], {"text": text}, timeout=10)[1].get("in_force"))

    def in_rotation(self):
        """Instances whose readiness hasn't failed yet, as a balancer sees it."""
        now = time.monotonic()
        return [i for i in self.instances if i.name not in self.stopping or now < i.told_at + NOTICE_S]

    def request_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def stop(self, instance):
        """SIGTERM, then a new process once the old one has ended."""
        process = local_deployment.PROCESSES[instance.name]
        self.stopping.add(instance.name)
        instance.told_at = began = time.monotonic()
        self.log.append(f"{began:.3f} SIGTERM {instance.name}")
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(0.005)
        instance.stops.append((began, time.monotonic(), process.returncode))
        local_deployment.restart_process(self.folder, instance.name)
        await self._reload_while_starting(instance)
        await self._until_ready(instance)
        self.stopping.discard(instance.name)

    async def _reload_while_starting(self, instance):
        """Sends SIGHUP again and again from the time at which the process opens its first listener."""
        process = local_deployment.PROCESSES[instance.name]
        while process.poll() is None:
            with socket.socket() as probe:
                if probe.connect_ex(instance.peer) == 0:
                    break
            await asyncio.sleep(0.001)
        until = time.monotonic() + RELOADS_S
        while time.monotonic() < until and process.poll() is None:
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.002)

    async def _until_ready(self, instance):
        deadline = time.monotonic() + local_deployment.READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if local_deployment.PROCESSES[instance.name].poll() is not None:
                break
            try:
                async with self.session.get(f"http://{instance.caller[0]}:{instance.caller[1]}/readyz",
                                            timeout=aiohttp.ClientTimeout(total=1)) as answer:
                    if answer.status == 200:
                        return
            except (aiohttp.ClientError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{instance.name} is not ready, status {local_deployment.PROCESSES[instance.name].returncode}")

    async def restarts(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
            await self.stop(self.random.choice(self.instances))


def request_text(run, attempt, kind, key):
    headers = f"Host: a\r\nAuthorization: Bearer {run.tokens['caller']}\r\nX-Request-Id: {attempt.request}\r\n"
    if kind == LARGE:
        return f"GET {LARGE} HTTP/1.1\r\n{headers}\r\n".encode()
    if kind == KEYED:
        return (f"POST {KEYED} HTTP/1.1\r\n{headers}Idempotency-Key: {key}\r\nContent-Length: 1\r\n\r\nx").encode()
    if kind == UNKNOWN:
        return f"GET {UNKNOWN} HTTP/1.1\r\n{headers}\r\n".encode()
    body = json.dumps({"model": RUNNER_SERVICE, "prompt": "many words " * 20, "max_tokens": OUTPUT_TOKENS,
                       "stream": kind == STREAM})
    return (f"POST /v1/completions HTTP/1.1\r\n{headers}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


class Caller:
    """Sends requests on kept connections and reads the answers at its own pace."""

    def __init__(self, run, seed):
        self.run = run
        self.random = random.Random(seed)
        # A key that is used again gets the recorded answer.
        self.keys = [f"key-{seed}-{index}" for index in range(3)]

    async def play(self, until):
        while time.monotonic() < until:
            await self._use_connection(self.random.choice(self.run.in_rotation()))

    async def _use_connection(self, instance):
        connection = SlowConnection(self.random.choice((2048, 4096)), self.random.uniform(0.002, 0.008))
        try:
            await connection.connect(*instance.caller)
        except (OSError, asyncio.TimeoutError):
            connection.close()
            return await asyncio.sleep(0.05)
        due = []
        try:
            for _ in range(self.random.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                wanted = 2 if self.random.random() < PIPELINED_SHARE else 1
                if await self._exchange(connection, instance, due, wanted):
                    return
                # The connection is idle and kept for a while.
                if not due:
                    await asyncio.sleep(self.random.uniform(0, 0.2))
            if due:
                await self._exchange(connection, instance, due, wanted=1)
        finally:
            connection.close()

    async def _exchange(self, connection, instance, due, wanted):
        """Sends until `wanted` requests are due and reads the answer to the first. Returns whether the connection has ended."""
        try:
            while len(due) < wanted:
                due.append(await self._send(connection, instance, pipelined=bool(due)))
        except ConnectionError:
            pass
        if not due:
            return True
        try:
            async with asyncio.timeout(DEADLINE_S):
                headers = await read_answer(connection, due[0])
        except (ConnectionEnded, TimeoutError) as error:
            for attempt in due:
                attempt.error = str(error) or "timeout"
                attempt.ended_at = time.monotonic()
            return True
        due.pop(0).ended_at = time.monotonic()
        if headers.get("connection", "").lower() != "close":
            return False
        for attempt in due:
            attempt.after_close = True
        return True

    async def _send(self, connection, instance, pipelined):
        kind = self.random.choice(CALLER_KINDS)
        attempt = SlowAttempt(self.run.request_id(), instance.name, kind, pipelined=pipelined)
        await connection.send(request_text(self.run, attempt, kind, self.random.choice(self.keys)))
        attempt.sent_at = time.monotonic()
        self.run.attempts.append(attempt)
        return attempt


def admin_request(run, path):
    kind = "endpoint" if path == "/announce" else "admin"
    headers = f"Host: a\r\nAuthorization: Bearer {run.tokens[kind]}\r\n"
    bodies = {"/admin/v1/query": {"text": "show classes"}, "/announce": {}}
    if path == "/admin/v1/change":
        run.next_change += 1
        text = f'change id "c-{run.next_change}" {{ set class "filler-1" priority = {1 + run.next_change % 2} }}'
        bodies[path] = {"text": text}
    if path not in bodies:
        return f"GET {path} HTTP/1.1\r\n{headers}\r\n".encode()
    body = json.dumps(bodies[path])
    return f"POST {path} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}".encode()


async def operate(run, seed, until):
    """Calls of the admin listener, also while its instance stops."""
    source = random.Random(seed)
    while time.monotonic() < until:
        instance = source.choice(run.instances)
        attempt = SlowAttempt("", instance.name, source.choice(OPERATOR_KINDS))
        connection = SlowConnection(4096, source.uniform(0.002, 0.008))
        try:
            await connection.connect(*instance.admin)
            await connection.send(admin_request(run, attempt.path))
            attempt.sent_at = time.monotonic()
            run.reads.append(attempt)
            async with asyncio.timeout(DEADLINE_S):
                await read_answer(connection, attempt)
        except (OSError, asyncio.TimeoutError, ConnectionEnded) as error:
            attempt.error = str(error) or "timeout"
            await asyncio.sleep(0.05)
        finally:
            connection.close()
        attempt.ended_at = time.monotonic()


async def stall(run, instance):
    """Sends a request, reads the beginning of its answer and nothing more while its instance stops."""
    attempt = SlowAttempt(run.request_id(), instance.name, LARGE, stalled=True)
    connection = SlowConnection(STALLED_READ_BYTES, 0)
    await connection.connect(*instance.caller)
    await connection.send(request_text(run, attempt, LARGE, ""))
    await connection.receive()
    await run.stop(instance)
    connection.close()
    log = (run.folder / "log" / f"{instance.name}.log").read_text(errors="replace")
    if any("event=answer_cut" in line and attempt.request in line for line in log.splitlines()):
        return []
    return [f"{instance.name} logged nothing of the answer that it cut, request {attempt.request}"]


async def outlast(run, instance):
    """A stream that is still running at the limit is ended with an error, not cut."""
    attempt = SlowAttempt(run.request_id(), instance.name, "endless stream")
    body = json.dumps({"model": RUNNER_SERVICE, "prompt": "words", "max_tokens": OUTPUT_TOKENS, "stream": True})
    connection = SlowConnection(1 << 16, 0)
    await connection.connect(*instance.caller)
    await connection.send(
        (f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {run.tokens['caller']}\r\n"
         f"X-Request-Id: {attempt.request}\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode())
    text = b""
    while b"data:" not in text:
        text += await connection.receive()
    for url in run.runner_urls:
        local_deployment.call(f"{url}/fake/fault", body={"stall_ms": int(2000 * SHUTDOWN_S)})
    stopping = asyncio.create_task(run.stop(instance))
    try:
        while True:
            text += await connection.receive()
    except ConnectionEnded as error:
        ended = str(error)
    connection.close()
    await stopping
    if b"event: error" in text and text.endswith(b"0\r\n\r\n"):
        return []
    return [f"{instance.name}: {ended} a stream at the shutdown limit without an error event"]


def find_cut_operator_calls(reads):
    breaches = []
    for read in reads:
        crossing = not read.began and read.error != "timeout" and read.ended_at - read.sent_at <= drain_checks.CROSSING_S
        if read.complete or crossing:
            continue
        breaches.append(f"{read.path} at {read.entry}: {read.error} after {read.body_bytes} bytes of status {read.status}, "
                        f"sent at {read.sent_at:.3f}, {read.ended_at - read.sent_at:.3f} s")
    return breaches


def print_summary(run):
    by_kind = collections.Counter((attempt.path, attempt.status) for attempt in run.attempts + run.reads if attempt.complete)
    stops = [ended - began for instance in run.instances for began, ended, _ in instance.stops]
    print(f"{len(run.attempts)} requests, {len(run.reads)} calls of operators; {len(stops)} stops, the longest "
          f"{max(stops, default=0):.2f} s of {SHUTDOWN_S} s")
    print("whole answers: " + ", ".join(f"{path} {status}: {count}" for (path, status), count in sorted(by_kind.items())))


async def play(run):
    async with aiohttp.ClientSession() as run.session:
        endpoints = [PlainEndpoint(name, run.passed_on, run.options.seed) for name in DATA_CENTRES]
        for endpoint in endpoints:
            await endpoint.start()
        announcing = [asyncio.create_task(endpoint.announce(run)) for endpoint in endpoints]
        await asyncio.sleep(2 * ANNOUNCE_PERIOD_S)
        until = time.monotonic() + run.options.seconds
        callers = [Caller(run, run.options.seed * 1000 + index).play(until) for index in range(CALLERS)]
        operators = [operate(run, run.options.seed * 1000 + index, until) for index in range(OPERATORS)]
        await asyncio.gather(*callers, *operators, run.restarts(until))
        breaches = []
        # The voters are the first of each data centre; one of them is enough to check.
        for found in await asyncio.gather(stall(run, run.instances[1]), outlast(run, run.instances[3])):
            breaches += found
        for task in announcing:
            task.cancel()
        for endpoint in endpoints:
            await endpoint.runner.cleanup()
    print_summary(run)
    breaches += drain_checks.find_cut(run.attempts, run.passed_on)
    breaches += find_cut_operator_calls(run.reads)
    breaches += drain_checks.find_late_stops(run.instances, SHUTDOWN_S)
    return breaches


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", type=pathlib.Path, help="cassiausherd; the other programs are beside it")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    local_deployment.BIN = options.binary.resolve().parent
    run = Run(options)
    try:
        run.start()
        breaches = asyncio.run(play(run))
    finally:
        local_deployment.down(run.folder)
    for breach in breaches:
        print(f"BREACH {breach}")
    if breaches:
        print("\n".join(run.log))
        print(f"logs are kept in {run.folder}")
    else:
        shutil.rmtree(run.folder, ignore_errors=True)
    print(f"seed {options.seed}: {len(breaches)} breaches")
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main())
