"""Callers of streams: when a stream breaks, they take it up at another entry instance.

Some tell which request brought the first event, others only the number of the last event.
"""

import asyncio
import dataclasses
import time

import aiohttp

from callers import Callers, HOST, REFUSED_STATUSES, RETRY_AFTER_SHARE
from deployment import CALLER_PORT

DEADLINE_S = 14.0
EVENTS = 70
MAX_RETRIES = 3
# A caller gives a stream up after a gap of this length.
MAX_GAP_S = 3.6
# A caller that can't connect comes back after this time.
RECONNECT_DELAY_S = 0.8
# Share of the callers that tell which request brought the first event.
TELLING_SHARE = 0.5
# With a smaller share of the entry instances in rotation, callers reach all of them.
MIN_ROTATION_SHARE = 0.5


@dataclasses.dataclass
class Event:
    number: int
    endpoint: str
    version: str
    at: float


@dataclasses.dataclass
class StreamAttempt:
    """One try at a stream. `resumes` is the attempt that brought its first event, None for a new stream."""
    request: str
    entry: str
    sent_at: float
    resumes: str = None
    status: int = 0
    events: list = dataclasses.field(default_factory=list)
    ended_at: float = 0.0
    answer: str = ""


@dataclasses.dataclass
class Stream:
    """One stream over all tries of its caller. `tells`: which request brought the first event."""
    attempts: list = dataclasses.field(default_factory=list)
    prompt: str = ""
    tells: bool = True

    def events(self):
        return [event for attempt in self.attempts for event in attempt.events]

    def complete(self):
        events = self.events()
        return bool(events) and events[-1].number == EVENTS


class StreamCallers(Callers):
    """Starts streams at a rate and records their events."""

    def __init__(self, session, balancer, seed):
        super().__init__(session, balancer, seed)
        self.streams = []

    def choose_entry(self, avoided=None):
        entries = self.balancer.entries
        if len(self.balancer.in_rotation()) >= MIN_ROTATION_SHARE * len(entries):
            return super().choose_entry(avoided)
        return self.random.choice([entry for entry in entries if entry is not avoided])

    async def lookup(self, deadline_s=DEADLINE_S):
        deadline = time.monotonic() + deadline_s
        stream = Stream(prompt=f"prompt{len(self.streams)}", tells=self.random.random() < TELLING_SHARE)
        self.streams.append(stream)
        entry = None
        for _ in range(1 + MAX_RETRIES):
            entry = self.choose_entry(avoided=entry)
            left = deadline - time.monotonic()
            if entry is None or left <= 0.5:
                return
            retry_after = await self._try(stream, entry, left)
            if stream.complete() or not self._may_come_back(stream, retry_after, deadline):
                return
            await asyncio.sleep(retry_after)

    def _may_come_back(self, stream, retry_after, deadline):
        attempt = stream.attempts[-1]
        left = deadline - time.monotonic()
        if attempt.status in REFUSED_STATUSES:
            return retry_after <= left * RETRY_AFTER_SHARE
        return attempt.status in (0, 200)

    async def _try(self, stream, entry, left):
        self.next_id += 1
        attempt = StreamAttempt(f"{self.next_id:016x}", entry.name, time.monotonic())
        headers = {
            "Host": HOST, "X-Request-Id": attempt.request, "X-Deadline-Ms": str(int(left * 1000)), "X-Model": "m",
            "X-Token-Counts": f"5000,{EVENTS}", "X-Prompt-Prefix": f"{stream.prompt}:5000"
        }
        known = stream.events()
        if known:
            attempt.resumes = next(tried.request for tried in stream.attempts if tried.events)
            headers["Last-Event-Id"] = str(known[-1].number)
            if stream.tells:
                headers["Resumes"] = attempt.resumes
        stream.attempts.append(attempt)
        self.attempts.append(attempt)
        retry_after = 0.0
        try:
            timeout = aiohttp.ClientTimeout(total=left, sock_read=MAX_GAP_S)
            async with self.session.post(f"http://{entry.ip}:{CALLER_PORT}/stream/", headers=headers, data=b"prompt",
                                         timeout=timeout) as answer:
                attempt.status = answer.status
                retry_after = float(answer.headers.get("Retry-After", 0))
                if answer.status == 200:
                    await self._read(answer, attempt)
                else:
                    attempt.answer = await answer.text()
        except aiohttp.ClientConnectorError:
            retry_after = RECONNECT_DELAY_S
        except (aiohttp.ClientError, asyncio.TimeoutError):
            pass
        attempt.ended_at = time.monotonic()
        return retry_after

    async def _read(self, answer, attempt):
        buffer = b""
        async for piece in answer.content.iter_any():
            buffer += piece
            *whole, buffer = buffer.split(b"\n\n")
            for text in whole:
                lines = dict(line.split(": ", 1) for line in text.decode().split("\n"))
                endpoint, version = lines["data"].split(" ")
                attempt.events.append(Event(int(lines["id"]), endpoint, version, time.monotonic()))
