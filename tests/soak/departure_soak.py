"""Endpoints leave around restarts of all control instances, of some with empty disks, and of entry instances.

In each round one endpoint is acknowledged before the kill and a heartbeat of it arrives after it, and one is cut off from
the control instances until after it, so that its departure is the first they hear of it. Endpoints answer some requests
by bytes without a sound head. Checks that no request reaches an endpoint that has left, that no answer is made up, and
that no instance ends by itself.
"""

import asyncio
import collections
import shutil
import time

import departure_checks as checks
import run_support
from callers import HOST, Callers
from endpoints import PlainEndpoint

SERVICE = "lookups"
ENDPOINTS = 5
ERROR_SHARE = 0.02
# Answers of every second endpoint that have no sound head.
HEADLESS_SHARE = 0.03
HEADLESS_ANSWERS = (b"HTTP/1.1 101 OK\r\nContent-Length: 5\r\n\r\nhello", b"HTTP/1.1 099 OK\r\n\r\nhello", b"HTTP/1.1 200 OK\r\nA: b\r\n",
                    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 OK\r\n\r\nhello")
BODY = "x" * 800

# Within a round.
CUT_S = 5.0
KILL_AFTER_S = 0.5
DOWN_S = (0.2, 0.9)
LATE_HEARTBEATS_S = (1.6, 2.4, 3.2, 4.0)
ROUND_S = 11.0
WIPE_SHARE = 0.5


def route(name, path, kind, attempts):
    return {
        "name": name, "host": HOST, "path-prefix": path, "kind": kind, "timeout-ms": 600, "target-latency-ms": 100,
        "priority": 1, "service": SERVICE, "attempts": attempts
    }


CONFIGURATION = {
    "version": 1,
    "routes": [route("unsafe", "/unsafe/", "unsafe", 1), route("safe", "/safe/", "safe", 2)],
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}]
}


class LeavingEndpoint(PlainEndpoint):
    """May be cut off from the control instances, and leaves by a call that it repeats until it is acknowledged."""

    def __init__(self, *args, headless, **options):
        super().__init__(*args, **options)
        self.headless = headless

    async def leave(self, by_heartbeat):
        self.beats.cancel()
        while True:
            call = ("PUT", self.heartbeat("draining")) if by_heartbeat else ("DELETE", None)
            if await self.announcer.call(call[0], self.name, call[1]):
                return checks.Departure(self.name, time.monotonic())
            await asyncio.sleep(0.1)

    async def answer(self, request, kind):
        if self.headless and self.random.random() < HEADLESS_SHARE:
            request.transport.write(self.random.choice(HEADLESS_ANSWERS))
            await asyncio.sleep(0.005)
            request.transport.close()
        return await super().answer(request, kind)


class Rounds:

    def __init__(self, run):
        self.run = run
        self.started = 0
        self.arrivals = []
        self.departures = []
        self.log = []

    async def start_endpoint(self):
        index = self.started
        self.started += 1
        centres = self.run.deployment.entries
        endpoint = LeavingEndpoint(f"e-{index}", SERVICE, self.run.endpoint_ip(index % 200),
                                   centres[index % len(centres)].data_centre, "v1", self.arrivals, seed=index,
                                   error_share=ERROR_SHARE, headless=index % 2 == 0)
        await self.run.add_endpoint(endpoint)

    async def play(self, until):
        while time.monotonic() + ROUND_S < until:
            await self._round()

    async def _round(self):
        began = time.monotonic()
        early, cut = self.run.random.sample(self.run.endpoints, 2)
        late_heartbeat = early.heartbeat()
        cut.beats.cancel()
        self.departures.append(await early.leave(self.run.random.random() < 0.5))
        await asyncio.sleep(KILL_AFTER_S)
        await self._kill()
        for at in LATE_HEARTBEATS_S:
            await asyncio.sleep(max(0.0, began + KILL_AFTER_S + at - time.monotonic()))
            await early.announcer.call("PUT", early.name, late_heartbeat)
        await asyncio.sleep(max(0.0, began + CUT_S - time.monotonic()))
        self.departures.append(await cut.leave(False))
        await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))
        for endpoint in (early, cut):
            self.run.endpoints.remove(endpoint)
            await endpoint.stop()
            await self.start_endpoint()

    async def _kill(self):
        deployment = self.run.deployment
        killed = self.run.random.sample(deployment.entries, self.run.random.randrange(len(deployment.entries)))
        wiped = self.run.random.choice(deployment.controls) if self.run.random.random() < WIPE_SHARE else None
        self.log.append(f"{time.monotonic():.2f} kill of all control instances and of {len(killed)} entry instances"
                        f"{', ' + wiped.name + ' loses its disk' if wiped else ''}")
        down = self.run.random.uniform(*DOWN_S)

        async def kill(instance):
            kill_and_start = deployment.kill(instance, down)
            if instance is wiped:
                await asyncio.gather(kill_and_start, self._wipe(instance, down / 2))
            else:
                await kill_and_start

        await asyncio.gather(*(kill(instance) for instance in deployment.controls + killed))

    @staticmethod
    async def _wipe(instance, after_s):
        await asyncio.sleep(after_s)
        shutil.rmtree(instance.folder / "data", ignore_errors=True)


def find_breaches(run, callers, rounds):
    entries = {entry.name: entry for entry in run.deployment.entries}
    sender = {attempt.request: entries[attempt.entry] for attempt in callers.attempts}

    def in_touch(request, begin, end):
        instances = run.deployment.controls + [sender[request]]
        return not any(begin <= at <= end for instance in instances for at in instance.troubles)

    ended = [f"{instance.name} ended by itself with {instance.process.returncode}"
             for instance in run.deployment.instances() if not instance.running()]
    served = sum(1 for attempt in callers.attempts if attempt.status == 200)
    unserved = [] if served > len(callers.attempts) / 2 else [f"only {served} of {len(callers.attempts)} were served"]
    return (checks.find_late(rounds.departures, rounds.arrivals, in_touch) + checks.find_false(callers.attempts, BODY) + ended +
            unserved)


async def play(options):
    async with run_support.Run(options) as run:
        rounds = Rounds(run)
        for _ in range(ENDPOINTS):
            await rounds.start_endpoint()
        await run.start(CONFIGURATION)
        callers = Callers(run.session, run.balancer, options.seed)
        until = time.monotonic() + options.seconds
        await asyncio.gather(callers.run(lambda now: options.rate, until), rounds.play(until))
        await callers.finish()
        statuses = collections.Counter(attempt.status for attempt in callers.attempts)
        print(f"{len(rounds.departures)} departures; tries by status: {dict(sorted(statuses.items()))}")
        return run.report(find_breaches(run, callers, rounds), rounds.log)


if __name__ == "__main__":
    run_support.main(play, __doc__)
