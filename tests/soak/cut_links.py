"""Cuts between entry instances and all endpoints, made outside the instances: callers, control instances and other entry
instances still reach them.

A library that is preloaded into the entry instances (cut_link.cc) decides what becomes of their new connections; the
endpoints hold or reset the open ones.
"""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import struct
import time

from endpoints import ENDPOINT_PORT, ModelEndpoint, PlainEndpoint

WAYS = ("hang", "reset", "refuse")
EXTENTS = ("one", "zone", "most", "all")
# What cut_link.cc does with new connections.
LINK_STATES = {"hang": "h", "reset": "r", "refuse": "r"}
PASSING = "p"
HOLD_POLL_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Connections that fill the queue of a listener which accepts none.
HOLE_CONNECTIONS = 4


class Hole:
    """An address at which connections to the endpoints' port hang."""

    def __init__(self, ip):
        self.ip = ip
        self.listener = socket.socket()
        self.listener.bind((ip, ENDPOINT_PORT))
        self.listener.listen(0)
        self.fillers = []
        for _ in range(HOLE_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((ip, ENDPOINT_PORT))
            self.fillers.append(filler)

    def close(self):
        for opened in self.fillers + [self.listener]:
            opened.close()


class CutLinks:
    """The links between entry instances and endpoints, by the address of the entry instance."""

    def __init__(self, library, hole):
        self.library = library
        self.hole = hole
        self.ways = {}
        self.open = collections.defaultdict(set)

    def prepare(self, entry):
        """The entry instance must not run yet."""
        entry.folder.mkdir(parents=True, exist_ok=True)
        entry.environment = {
            "LD_PRELOAD": str(self.library), "CUT_LINK_STATE": str(entry.folder / "link"),
            "CUT_LINK_PORT": str(ENDPOINT_PORT), "CUT_LINK_SOURCE": entry.ip, "CUT_LINK_HOLE": self.hole.ip
        }
        self.heal(entry)

    def cut(self, entry, way):
        (entry.folder / "link").write_text(LINK_STATES[way])
        self.ways[entry.ip] = way
        if way == "reset":
            for transport in list(self.open[entry.ip]):
                reset(transport)

    def heal(self, entry):
        (entry.folder / "link").write_text(PASSING)
        self.ways.pop(entry.ip, None)

    @contextlib.contextmanager
    def connection(self, request):
        transport = request.transport
        source = transport.get_extra_info("peername")[0]
        self.open[source].add(transport)
        try:
            yield
        finally:
            self.open[source].discard(transport)

    async def pass_bytes(self, request):
        """Returns once bytes of the answer reach the instance that sent the request."""
        if request.transport is None:
            return
        source = request.transport.get_extra_info("peername")[0]
        while self.ways.get(source) == "hang":
            await asyncio.sleep(HOLD_POLL_S)


def reset(transport):
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


class CutPlainEndpoint(PlainEndpoint):
    links = None

    async def answer(self, request, kind):
        with self.links.connection(request):
            response = await super().answer(request, kind)
            await self.links.pass_bytes(request)
            return response


class CutModelEndpoint(ModelEndpoint):
    links = None

    async def answer(self, request, kind):
        with self.links.connection(request):
            return await super().answer(request, kind)

    async def before_event(self, request):
        await self.links.pass_bytes(request)


@dataclasses.dataclass
class Cut:
    """One cut; `entries` are the names of the instances that it took."""
    way: str
    extent: str
    entries: frozenset
    began_at: float
    ended_at: float = 0.0

    def __str__(self):
        return f"{self.way}, {self.extent} ({', '.join(sorted(self.entries))})"


def choose_entries(entries, extent, source):
    """The instances that a cut takes."""
    if extent == "one":
        return [source.choice(entries)]
    if extent == "zone":
        zone = source.choice(sorted({entry.data_centre for entry in entries}))
        return [entry for entry in entries if entry.data_centre == zone]
    if extent == "most":
        return source.sample(entries, max(1, 2 * len(entries) // 3))
    return list(entries)


async def play_cut(links, entries, cut, for_s):
    for entry in entries:
        links.cut(entry, cut.way)
    await asyncio.sleep(for_s)
    for entry in entries:
        links.heal(entry)
    cut.ended_at = time.monotonic()
