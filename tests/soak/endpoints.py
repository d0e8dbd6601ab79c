"""Stand-ins for endpoints: they announce themselves, answer requests and record what reaches them."""

import asyncio
import dataclasses
import itertools
import random
import time

import aiohttp
from aiohttp import web

HEARTBEAT_PERIOD_S = 1.2
HEARTBEAT_TIMEOUT_S = 1.0
ENDPOINT_PORT = 8400
SHUTDOWN_TIMEOUT_S = 0.1
HEALTHY_STATUS = 200


@dataclasses.dataclass
class Arrival:
    """One call that reached an endpoint, whether or not it ran."""
    at: float
    endpoint: str
    request: str
    kind: str


class Announcer:
    """Sends an endpoint's heartbeats, to another control instance after each failure."""

    def __init__(self, session, control_urls):
        self.session = session
        self.urls = itertools.cycle(control_urls)
        self.url = next(self.urls)

    async def call(self, method, endpoint, body):
        timeout = aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
        try:
            async with self.session.request(method, f"{self.url}/api/instances/{endpoint}", json=body,
                                            timeout=timeout) as answer:
                if answer.status == HEALTHY_STATUS:
                    return True
        except (aiohttp.ClientError, asyncio.TimeoutError):
            pass
        self.url = next(self.urls)
        return False


class Endpoint:
    """Base of the stand-ins: listener, heartbeats, record of arrivals and the named limit."""

    def __init__(self, name, service, ip, data_centre, version, arrivals):
        self.name = name
        self.service = service
        self.address = f"{ip}:{ENDPOINT_PORT}"
        self.ip = ip
        self.data_centre = data_centre
        self.version = version
        self.arrivals = arrivals
        self.slots = 6
        self.stage = None
        self.limit = None
        # (time, limit or None), in order; what the answers named from then on.
        self.limits = []
        self.sequence = 0
        self.site = None
        self.runner = None
        self.beats = None
        # Set once a control instance has acknowledged a heartbeat.
        self.announced = asyncio.Event()

    def set_limit(self, limit):
        self.limit = limit
        self.limits.append((time.monotonic(), limit))

    async def start(self, session, control_urls):
        application = web.Application(client_max_size=1 << 20)
        application.router.add_route("*", "/{path:.*}", self._record)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, self.ip, ENDPOINT_PORT, reuse_address=True, backlog=512,
                                shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self.site.start()
        self.announcer = Announcer(session, control_urls)
        self.beats = asyncio.create_task(self._announce())

    async def stop(self):
        """Ends without a word, as a crash does."""
        self.beats.cancel()
        await self.runner.cleanup()

    def heartbeat(self, state="ready"):
        self.sequence += 1
        body = {
            "service": self.service, "address": self.address, "zone": self.data_centre, "version": self.version,
            "slots": self.slots, "state": state, "cold-left-ms": 0, "seq": self.sequence
        }
        if self.stage is not None:
            body |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return body

    async def _announce(self):
        while True:
            acknowledged = await self.announcer.call("PUT", self.name, self.heartbeat())
            if acknowledged:
                self.announced.set()
            await asyncio.sleep(HEARTBEAT_PERIOD_S if acknowledged else 0.1)

    async def _record(self, request):
        kind = self.kind_of(request)
        self.arrivals.append(Arrival(time.monotonic(), self.name, request.headers.get("X-Request-Id", ""), kind))
        return await self.answer(request, kind)

    def kind_of(self, request):
        if request.method == "DELETE":
            return "release"
        if request.headers.get("X-Serving-Stage") == "prefill":
            return "prefill"
        return "order" if request.path == "/api/order" else "run"

    def headers(self, request):
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", ""), "X-Instance-Id": self.name}
        if self.limit is not None:
            headers["Server-Limit"] = f"{self.limit:g}"
        return headers

    async def answer(self, request, kind):
        raise NotImplementedError


class PlainEndpoint(Endpoint):
    """Answers after some work; a share of the answers are server errors, which make callers' requests be retried."""

    def __init__(self, *args, seed, error_share=0.1, work_s=0.015):
        super().__init__(*args)
        self.random = random.Random(seed)
        self.error_share = error_share
        self.work_s = work_s

    async def answer(self, request, kind):
        headers = self.headers(request) | {"X-Server-Stamp": f"{self.name}.1"}
        await asyncio.sleep(self.work_s * self.random.uniform(0.5, 2))
        status = 500 if self.random.random() < self.error_share else HEALTHY_STATUS
        return web.Response(status=status, headers=headers, body=b"x" * 800)


class ModelEndpoint(Endpoint):
    """A model runner: reads prompts or writes streams of events that tell which endpoint and version wrote them."""

    def __init__(self, *args, stage, seed, event_period_s=0.03, prefill_s=0.05):
        super().__init__(*args)
        self.stage = stage
        self.slots = 48
        self.random = random.Random(seed)
        self.event_period_s = event_period_s
        self.prefill_s = prefill_s
        self.open = set()
        self.handles = itertools.count(1)

    async def crash(self):
        """Ends without a word, in the middle of its streams."""
        self.beats.cancel()
        await self.site.stop()
        for transport in list(self.open):
            transport.abort()
        await self.runner.cleanup()

    async def answer(self, request, kind):
        transport = request.transport
        self.open.add(transport)
        try:
            return await self._answer(request, kind)
        finally:
            self.open.discard(transport)

    async def _answer(self, request, kind):
        headers = self.headers(request)
        if kind == "release":
            return web.Response(headers=headers)
        if kind == "order":
            return await self._change_stage(request, headers)
        expected = request.headers.get("X-Expect-Instance", self.name)
        if expected != self.name or (kind == "prefill") != (self.stage == "prefill"):
            return web.Response(status=421, headers=headers | {"X-Not-Executed": "1"})
        if kind == "prefill":
            await asyncio.sleep(self.prefill_s)
            body = {"handle": f"{self.name}-{next(self.handles)}", "tokens": 5000, "version": 1}
            return web.json_response(body, headers=headers)
        return await self._stream(request, headers)

    async def before_event(self, request):
        """Called before each event of a stream; returns once it may be sent."""

    async def _change_stage(self, request, headers):
        order = await request.json()
        self.stage = order.get("stage", self.stage)
        return web.Response(status=202, headers=headers)

    async def _stream(self, request, headers):
        headers |= {"X-Server-Stamp": f"{self.name}.1", "X-Weight-Versions": "1", "Content-Type": "text/event-stream"}
        last = int(request.headers["X-Token-Counts"].split(",")[1])
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        response = web.StreamResponse(headers=headers)
        await asyncio.sleep(self.event_period_s)
        await response.prepare(request)
        for number in range(first, last + 1):
            await self.before_event(request)
            await response.write(f"id: {number}\ndata: {self.name} {self.version}\n\n".encode())
            await asyncio.sleep(self.event_period_s * self.random.uniform(0.5, 1.5))
        await response.write_eof()
        return response
