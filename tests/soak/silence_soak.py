"""Sound endpoints fall silent for 1.0 to 1.5 s, several at once, and go on where they were.

Checks that no answer ends early or fails because of it, that nothing runs twice that mustn't, and that each endpoint
soon gets work again.
"""

import asyncio
import collections
import time

import run_support
import silence_checks as checks
import version_checks
from callers import Callers, HOST
from silent_endpoints import EndpointProcess
from stream_callers import StreamCallers

PLAIN_SERVICE = "lookup"
MODEL_SERVICE = "assistant"
# Three of each, since two or fewer aren't chosen at random.
STAGES = (None,) * 3 + ("prefill",) * 3 + ("decode",) * 3
MIN_SILENCE_S = 1.0
MAX_SILENCE_S = 1.5
# Within a group of silences.
MAX_DELAY_S = 0.4
# Between two groups, long enough to see whether the endpoints get work again.
PAUSE_S = 2.0
PLAIN_DEADLINE_S = 4.0
# Streams per plain request.
STREAM_SHARE = 0.3
FIRST_STREAM_ID = 1 << 32
END_PAUSE_S = 2.0

CONFIGURATION = {
    "version": 1,
    "routes": [{
        "name": f"r-{kind}", "host": HOST, "path-prefix": f"/{kind}/", "kind": kind, "timeout-ms": 4000,
        "target-latency-ms": 100, "priority": 1, "service": PLAIN_SERVICE, "attempts": 1 if kind == "unsafe" else 2
    } for kind in ("safe", "unsafe")] + [{
        "name": "r-stream", "host": HOST, "path-prefix": "/stream/", "kind": "stream", "timeout-ms": 14000,
        "target-latency-ms": 900, "priority": 1, "service": MODEL_SERVICE, "attempts": 2, "session-affinity": True,
        "resumable": True, "gap-target-ms": 300
    }],
    "services": [{
        "name": PLAIN_SERVICE, "health-path": "/health", "max-conns": 290, "protocol": "h1", "tls": False
    }, {
        "name": MODEL_SERVICE, "health-path": "/health", "max-conns": 290, "protocol": "h1", "tls": False, "engine": {
            "slots": 48, "kv-capacity": 1000000, "kv-token-bytes": 262144, "link-mbps": 8100000.0, "moves": True,
            "backups": True, "stride": 1, "most": 12, "kv-hold-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0,
            "hold-ms": 2000.0, "models": [{"name": "m"}]
        }
    }],
}


class PlainCallers(Callers):
    """Lookups that can wait for longer than a silence. `unsafe` holds the ids of those that may run only once."""

    def __init__(self, session, balancer, seed):
        super().__init__(session, balancer, seed)
        self.unsafe = set()

    async def lookup(self, deadline_s=PLAIN_DEADLINE_S):
        await super().lookup(deadline_s)

    async def _send(self, attempt, entry, method, path, left):
        if method == "POST":
            self.unsafe.add(attempt.request)
        return await super()._send(attempt, entry, method, path, left)


class Silences:
    """A seeded series of groups of silences. Every third group takes all endpoints of one kind."""

    def __init__(self, run):
        self.run = run
        self.log = []

    async def begin(self, until):
        number = 0
        while time.monotonic() < until:
            number += 1
            await asyncio.gather(*(self._silence(endpoint) for endpoint in self._choose(number)))
            await asyncio.sleep(PAUSE_S)

    def _choose(self, number):
        random = self.run.random
        if number % 3 == 0:
            stage = STAGES[number % len(STAGES) - 1]
            return [endpoint for endpoint in self.run.endpoints if endpoint.stage == stage]
        return random.sample(self.run.endpoints, random.randint(1, len(self.run.endpoints)))

    async def _silence(self, endpoint):
        random = self.run.random
        length = random.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        await asyncio.sleep(random.uniform(0, MAX_DELAY_S))
        self.log.append(f"{time.monotonic() - self.run.began_at:.2f} s: {endpoint.name} is silent for {length:.2f} s")
        await endpoint.fall_silent(length)


def find_breaches(run, callers, streams, arrivals, end):
    sent_at = {attempt.request: attempt.sent_at for attempt in callers.attempts + streams.attempts}
    breaches = checks.find_failed(callers.attempts) + checks.find_broken_streams(streams.streams)
    breaches += version_checks.find_gaps(streams.streams) + checks.find_repeated(arrivals, callers.unsafe)
    for endpoint in run.endpoints:
        breaches += checks.find_idle(endpoint.name, endpoint.silences, arrivals, sent_at, end)
    return breaches


def print_summary(run, callers, streams):
    statuses = collections.Counter(attempt.status for attempt in callers.attempts)
    slowest = max((attempt.ended_at - attempt.sent_at for attempt in callers.attempts), default=0)
    complete = sum(1 for stream in streams.streams if stream.complete())
    print(f"plain requests by status: {dict(sorted(statuses.items()))}, the slowest took {slowest:.2f} s")
    print(f"{len(streams.streams)} streams, {complete} complete, {len(streams.attempts)} tries")
    print(f"{sum(len(endpoint.silences) for endpoint in run.endpoints)} silences")


async def play(options):
    arrivals = []
    async with run_support.Run(options) as run:
        for index, stage in enumerate(STAGES):
            data_centre = run.deployment.entries[index % len(run.deployment.entries)].data_centre
            await run.add_endpoint(EndpointProcess(
                f"e-{index}-{stage or 'plain'}", MODEL_SERVICE if stage else PLAIN_SERVICE, run.endpoint_ip(index),
                data_centre, stage, options.seed + index, arrivals))
        await run.start(CONFIGURATION)
        callers = PlainCallers(run.session, run.balancer, options.seed)
        streams = StreamCallers(run.session, run.balancer, options.seed)
        streams.next_id = FIRST_STREAM_ID
        silences = Silences(run)
        end = time.monotonic() + options.seconds
        await asyncio.gather(callers.run(lambda now: options.rate, end),
                             streams.run(lambda now: options.rate * STREAM_SHARE, end),
                             silences.begin(end - END_PAUSE_S))
        await callers.finish()
        await streams.finish()
        print_summary(run, callers, streams)
        return run.report(find_breaches(run, callers, streams, arrivals, end), silences.log)


if __name__ == "__main__":
    run_support.main(play, __doc__)
