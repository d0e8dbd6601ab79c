"""One of several endpoints sends bytes that never end, in one way after another, and so do some callers.

Checks that every caller gets an answer or an error before its deadline, that nearly all are served by the sound endpoints
beside it, that no entry instance takes much memory, and that the endpoint gets few calls meanwhile and work again soon
after.
"""

import asyncio
import collections
import contextlib
import dataclasses
import time

import aiohttp

import run_support
from callers import HOST
from deployment import CALLER_PORT, CONTROL_PORT, READINESS_PORT
from endless_endpoint import WAYS, EndlessEndpoint, block_of

SERVICE = "lookup"
ENDPOINTS = 4
DEADLINE_S = 1.0
# The answer to a request that is over at its deadline needs a moment to arrive.
DEADLINE_MARGIN_S = 0.3
MIN_SHARE_SERVED = 0.95
MAX_RESIDENT_KB = 60 << 10
# A share of all calls in a phase; the endpoint would have a quarter of them.
MAX_SHARE_OF_BAD = 0.08
# Single calls of each entry instance, however few calls there are.
FREE_CALLS_PER_ENTRY = 6
BACK_WITHIN_S = 8.0
# Ways in which callers send requests without end, as what is sent first and what is then repeated.
CALLER_WAYS = (
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\n", b"X-More: x\r\n"),
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Long: ", b"x"),
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nhello\r\n"),
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"x"),
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n", b"1;" + b"x" * 90 + b"\r\nh\r\n"),
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", b"x"),
    (b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000000000\r\n\r\n", b"x"),
)
# Ways of a burst, in which all endpoints answer many calls at once in the same way, and the bytes that each call sends
# before it stalls: just below the limits of a single call, and beyond them.
BURSTS = (("header-line", 96 << 10), ("header-lines", 48 << 10), ("event", 960 << 10), ("body", 14 << 20),
          ("event", 64 << 20), ("body", 64 << 20))
BURST_CALLS = 250
BURST_DELAY_S = 0.25
MAX_SENT_BY_CALLER = 64 << 20
CALLER_ENDED_WITHIN_S = 5.0


def route(kind):
    return {
        "name": f"r-{kind}", "host": HOST, "path-prefix": f"/{kind}/", "kind": kind,
        "timeout-ms": int(DEADLINE_S * 1000), "target-latency-ms": 300, "priority": 1, "service": SERVICE,
        "attempts": 1 if kind == "unsafe" else 2, "session-affinity": False, "resumable": kind == "stream",
        "gap-target-ms": 300
    }


CONFIGURATION = {
    "version": 1,
    "routes": [route(kind) for kind in ("safe", "unsafe", "stream")],
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 290, "protocol": "h1", "tls": False}],
}
METHODS = {"safe": "GET", "unsafe": "POST", "stream": "POST"}


@dataclasses.dataclass
class Attempt:
    """One request as its caller saw it; `status` is 0 without a whole answer."""
    request: str
    kind: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    error: str = ""


class TimedCallers:
    """Send requests of all kinds at a rate, each with a deadline, and don't come back."""

    def __init__(self, run):
        self.run_ = run
        self.random = run.random
        self.attempts = []
        self.open = set()

    async def run(self, rate, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(rate))
            task = asyncio.create_task(self._call())
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def finish(self):
        if self.open:
            await asyncio.wait(self.open, timeout=20)

    async def burst(self, entry):
        """Returns the attempts of many calls at once to one entry instance."""
        before = len(self.attempts)
        await asyncio.gather(*(self._call(entry) for _ in range(BURST_CALLS)))
        burst, self.attempts = self.attempts[before:], self.attempts[:before]
        return burst

    async def _call(self, entry=None):
        kind = self.random.choices(("safe", "unsafe", "stream"), (6, 1, 3))[0]
        attempt = Attempt(f"{self.run_.random.getrandbits(64):016x}", kind, time.monotonic())
        self.attempts.append(attempt)
        entry = entry or self.random.choice(self.run_.deployment.entries)
        headers = {"Host": HOST, "X-Request-Id": attempt.request, "X-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + 5)
        try:
            async with self.run_.session.request(METHODS[kind], f"http://{entry.ip}:{CALLER_PORT}/{kind}/",
                                                 headers=headers, timeout=timeout) as answer:
                await answer.read()
                attempt.status = answer.status
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            attempt.error = type(error).__name__
        attempt.ended_at = time.monotonic()


class EndlessCallers:
    """Send requests without end to every listener of an entry and a control instance, some at a time."""

    def __init__(self, run):
        self.deployment = run.deployment
        self.breaches = []

    def _addresses(self):
        entry, control = self.deployment.entries[0], self.deployment.controls[0]
        return [(entry.ip, CALLER_PORT), (entry.ip, READINESS_PORT), (control.ip, CONTROL_PORT)]

    async def run(self, until):
        while time.monotonic() < until:
            await asyncio.gather(*(self._send(ip, port, *way) for ip, port in self._addresses() for way in CALLER_WAYS))
            await asyncio.sleep(2)

    async def _send(self, ip, port, head, piece):
        began = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(CALLER_ENDED_WITHIN_S):
                reader, writer = await asyncio.open_connection(ip, port)
                answer = asyncio.create_task(reader.read())
                writer.write(head)
                with contextlib.suppress(ConnectionError):
                    await self._repeat(writer, piece, answer)
                with contextlib.suppress(ConnectionError):
                    await answer
        except TimeoutError:
            self.breaches.append(f"{ip}:{port} still reads after {time.monotonic() - began:.1f} s: {head!r}")
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _repeat(self, writer, piece, answer):
        block = block_of(piece)
        for _ in range(MAX_SENT_BY_CALLER // len(block)):
            if answer.done():
                return
            writer.write(block)
            await writer.drain()


@dataclasses.dataclass
class Phase:
    way: str
    began: float
    ended: float


async def play_ways(endpoint, random, seconds):
    """Each way in turn, in random order, with a sound period after it."""
    order = list(WAYS)
    random.shuffle(order)
    # The last sound period shows that the endpoint gets work again.
    step = (seconds - BACK_WITHIN_S) / len(order)
    phases = []
    for way in order:
        began = time.monotonic()
        endpoint.set_way(way)
        await asyncio.sleep(step)
        phases.append(Phase(way, began, time.monotonic()))
    endpoint.set_way(None)
    await asyncio.sleep(BACK_WITHIN_S)
    return phases


def peak_resident_kb(instance):
    with open(f"/proc/{instance.process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:"))


def find_late(attempts):
    late = [a for a in attempts if a.ended_at == 0 or a.ended_at - a.sent_at > DEADLINE_S + DEADLINE_MARGIN_S]
    return [f"{len(late)} of {len(attempts)} callers waited beyond their deadline: {late[:3]}"] if late else []


def find_unserved(attempts):
    served = sum(1 for attempt in attempts if attempt.status == 200)
    if served >= MIN_SHARE_SERVED * len(attempts):
        return []
    return [f"only {served} of {len(attempts)} requests were served"]


def find_large(run):
    sizes = {instance.name: peak_resident_kb(instance) for instance in run.deployment.instances()}
    print(f"peak resident memory in KB: {sizes}")
    return [f"{name} took {size} KB" for name, size in sizes.items() if size > MAX_RESIDENT_KB]


def find_many_calls(run, bad, phases, arrivals):
    breaches = []
    for phase in phases:
        during = [arrival for arrival in arrivals if phase.began <= arrival.at < phase.ended]
        own = sum(1 for arrival in during if arrival.endpoint == bad.name)
        allowed = max(MAX_SHARE_OF_BAD * len(during), FREE_CALLS_PER_ENTRY * len(run.deployment.entries))
        print(f"{phase.way}: {own} of {len(during)} calls in {phase.ended - phase.began:.1f} s")
        if own > allowed:
            breaches.append(f"{phase.way}: {own} of {len(during)} calls went to the endpoint in trouble")
    return breaches


def find_shunned(bad, phases, arrivals):
    well_since = phases[-1].ended
    after = [arrival.at - well_since for arrival in arrivals if arrival.endpoint == bad.name and arrival.at >= well_since]
    if len(after) >= 2 * ENDPOINTS:
        print(f"work again after {after[0]:.1f} s, {len(after)} calls")
        return []
    return [f"{len(after)} calls in the {BACK_WITHIN_S:g} s after the endpoint was well"]


async def play_bursts(run, callers):
    """All endpoints are in trouble, so that nobody can be served, but everybody is answered."""
    attempts = []
    for way, call_bytes in BURSTS:
        for endpoint in run.endpoints:
            endpoint.call_bytes, endpoint.delay_s = call_bytes, BURST_DELAY_S
            endpoint.set_way(way)
        began = time.monotonic()
        burst = await callers.burst(run.deployment.entries[1])
        attempts += burst
        statuses = collections.Counter(attempt.status for attempt in burst)
        print(f"burst of {way}, {call_bytes >> 10} KB a call: statuses {dict(statuses)}, "
              f""
              f"{time.monotonic() - began:.2f} s, {peak_resident_kb(run.deployment.entries[1])} KB")
    return attempts


def find_ended(run):
    return [f"{instance.name} has ended" for instance in run.deployment.instances() if not instance.running()]


async def play(options):
    arrivals = []
    async with run_support.Run(options) as run:
        for index in range(ENDPOINTS):
            data_centre = run.deployment.entries[index % options.entries].data_centre
            await run.add_endpoint(EndlessEndpoint(
                f"e-{index}", SERVICE, run.endpoint_ip(index), data_centre, "v1", arrivals))
        await run.start(CONFIGURATION)
        bad = run.random.choice(run.endpoints)
        callers = TimedCallers(run)
        endless = EndlessCallers(run)
        until = time.monotonic() + options.seconds
        phases, *_ = await asyncio.gather(
            play_ways(bad, run.random, options.seconds), callers.run(options.rate, until), endless.run(until - 6))
        await callers.finish()
        bursts = await play_bursts(run, callers) if options.bursts else []
        outcomes = collections.Counter((a.kind, a.status, a.error) for a in callers.attempts)
        print(f"requests by kind, status and error: {dict(sorted(outcomes.items()))}")
        breaches = find_ended(run)
        if not breaches:
            breaches += find_large(run)
        breaches += find_late(callers.attempts + bursts) + find_unserved(callers.attempts) + endless.breaches
        breaches += find_many_calls(run, bad, phases, arrivals) + find_shunned(bad, phases, arrivals)
        return run.report(breaches, [f"{at - run.began_at:.1f} s: {way}" for at, way in bad.ways])


if __name__ == "__main__":
    run_support.main(play, __doc__)
