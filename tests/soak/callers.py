"""Callers: they send requests to the entry instances that are in rotation and record what becomes of them."""

import asyncio
import dataclasses
import random
import time

import aiohttp

from deployment import CALLER_PORT, READINESS_PORT

PROBE_PERIOD_S = 1.0
MISSES_BEFORE_REMOVAL = 2
HOST = "a.example"
REFUSED_STATUSES = (429, 503)
# A caller waits at most this share of its remaining time before it comes back.
RETRY_AFTER_SHARE = 1 / 3


@dataclasses.dataclass
class Attempt:
    """One request as a caller saw it; `status` is 0 without an answer. `first`: not the repeat of a refused one."""
    request: str
    entry: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ""
    first: bool = True


class Balancer:
    """Probes each entry instance once a second; two misses take it out of rotation."""

    def __init__(self, session, entries):
        self.session = session
        self.entries = entries
        self.misses = {entry.name: MISSES_BEFORE_REMOVAL for entry in entries}

    def in_rotation(self):
        return [entry for entry in self.entries if self.misses[entry.name] < MISSES_BEFORE_REMOVAL]

    async def run(self):
        while True:
            await asyncio.gather(*(self._probe(entry) for entry in self.entries), asyncio.sleep(PROBE_PERIOD_S))

    async def _probe(self, entry):
        try:
            async with self.session.get(f"http://{entry.ip}:{READINESS_PORT}/api/ready",
                                        timeout=aiohttp.ClientTimeout(total=PROBE_PERIOD_S)) as answer:
                ready = answer.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            ready = False
        self.misses[entry.name] = 0 if ready else self.misses[entry.name] + 1


class Callers:
    """Sends lookups at a rate, unevenly over the entry instances, and comes back once after a refusal."""

    def __init__(self, session, balancer, seed):
        self.session = session
        self.balancer = balancer
        self.random = random.Random(seed)
        self.attempts = []
        self.open = set()
        self.next_id = 0

    async def run(self, rate, until):
        """`rate` is a function of the time that gives requests a second."""
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(rate(time.monotonic())))
            task = asyncio.create_task(self.lookup())
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def finish(self):
        if self.open:
            await asyncio.wait(self.open, timeout=20)

    def choose_entry(self, avoided=None):
        entries = [entry for entry in self.balancer.in_rotation() if entry is not avoided]
        if not entries:
            return None
        # Connections are spread unevenly: the first entry instances get most of them.
        weights = [1 / (1 + position) for position in range(len(entries))]
        return self.random.choices(entries, weights)[0]

    def new_attempt(self, entry):
        self.next_id += 1
        attempt = Attempt(f"{self.next_id:016x}", entry.name, time.monotonic())
        self.attempts.append(attempt)
        return attempt

    async def lookup(self, deadline_s=0.6):
        deadline = time.monotonic() + deadline_s
        path, method = self.random.choice((("/unsafe/", "POST"), ("/safe/", "GET")))
        entry = None
        for number in range(2):
            entry = self.choose_entry(avoided=entry)
            left = deadline - time.monotonic()
            if entry is None or left <= 0:
                return
            attempt = self.new_attempt(entry)
            attempt.first = number == 0
            retry_after = await self._send(attempt, entry, method, path, left)
            left = deadline - time.monotonic()
            came_back = attempt.status in REFUSED_STATUSES and retry_after <= left * RETRY_AFTER_SHARE
            if not came_back:
                return
            await asyncio.sleep(retry_after)

    async def _send(self, attempt, entry, method, path, left):
        """Returns the Retry-After of the answer in seconds, 0 without one."""
        headers = {"Host": HOST, "X-Request-Id": attempt.request, "X-Deadline-Ms": str(int(left * 1000))}
        retry_after = 0.0
        try:
            async with self.session.request(method, f"http://{entry.ip}:{CALLER_PORT}{path}", headers=headers,
                                            timeout=aiohttp.ClientTimeout(total=left)) as answer:
                attempt.body = await answer.text()
                attempt.status = answer.status
                retry_after = float(answer.headers.get("Retry-After", 0))
        except (aiohttp.ClientError, asyncio.TimeoutError):
            pass
        attempt.ended_at = time.monotonic()
        return retry_after
