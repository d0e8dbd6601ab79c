"""A stand-in for an endpoint that can be told to send bytes without end, in one way after another."""

import asyncio
import contextlib
import time

from endpoints import ENDPOINT_PORT, Announcer, Arrival, Endpoint

BLOCK_BYTES = 16 << 10
HEAD_END = b"\r\n\r\n"
# Nothing is added to what one call sends beyond this.
CALL_BYTES = 256 << 20
SOUND_WORK_S = 0.015
SOUND_BYTES = 800


def block_of(piece):
    return piece * (BLOCK_BYTES // len(piece) + 1)


LONG_EXTENSION = b"1;" + b"x" * 400 + b"\r\nh\r\n"

# By name: what the answer has after its status line and common headers, and what is then repeated without end.
WAYS = {
    "header-lines": (b"", b"X-More: x\r\n"),
    "header-line": (b"X-Long: ", b"x"),
    "informational": (None, b"HTTP/1.1 103 Early Hints\r\nX-More: x\r\n\r\n"),
    "body": (b"\r\n", b"x"),
    "chunked-body": (b"Transfer-Encoding: chunked\r\n\r\n", b"40\r\n" + b"x" * 64 + b"\r\n"),
    "chunk-extension": (b"Transfer-Encoding: chunked\r\n\r\n5;", b"x"),
    "long-extensions": (b"Transfer-Encoding: chunked\r\n\r\n", LONG_EXTENSION),
    "trailers": (b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", b"X-More: x\r\n"),
    "trailer-line": (b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", b"x"),
    "event": (b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", b"x"),
    "event-lines": (b"Content-Type: text/event-stream\r\n\r\nid: 1\n", b"data: x\n"),
}


class EndlessEndpoint(Endpoint):
    """Answers soundly, or in the current way; `ways` holds (time, way or None)."""

    def __init__(self, *args):
        super().__init__(*args)
        self.slots = 6
        self.way = None
        self.ways = []
        self.server = None
        self.open = set()
        # What is sent of a bad answer, after this time.
        self.call_bytes = CALL_BYTES
        self.delay_s = 0.0

    def set_way(self, way):
        self.way = way
        self.ways.append((time.monotonic(), way))

    async def start(self, session, control_urls):
        self.server = await asyncio.start_server(self._serve, self.ip, ENDPOINT_PORT, backlog=512)
        self.announcer = Announcer(session, control_urls)
        self.beats = asyncio.create_task(self._announce())

    async def stop(self):
        self.beats.cancel()
        self.server.close()
        for task in list(self.open):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.open.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self._answer_raw(reader, writer)
        finally:
            self.open.discard(task)
            writer.transport.abort()

    async def _answer_raw(self, reader, writer):
        lines = (await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
        path = lines[0].split(" ")[1]
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
        request = headers.get("x-request-id", "")
        await reader.readexactly(int(headers.get("content-length", "0")))
        way = self.way
        self.arrivals.append(Arrival(time.monotonic(), self.name, request, way or "sound"))
        common = (f"X-Request-Id: {request}\r\nX-Instance-Id: {self.name}\r\n"
                  f"X-Server-Stamp: {self.name}.1\r\n").encode()
        if way is None:
            await self._send_sound(writer, path, common)
        else:
            await self._send_endless(writer, way, common)

    async def _send_sound(self, writer, path, common):
        await asyncio.sleep(SOUND_WORK_S)
        body = b"x" * SOUND_BYTES
        kind = b""
        if path.startswith("/stream/"):
            body = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 20))
            kind = b"Content-Type: text/event-stream\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + common + kind + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        writer.write_eof()
        await reader_end(writer)

    async def _send_endless(self, writer, way, common):
        rest, piece = WAYS[way]
        await asyncio.sleep(self.delay_s)
        if rest is not None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + common + rest)
        block = block_of(piece)
        for _ in range(self.call_bytes // len(block)):
            writer.write(block)
            await writer.drain()
        await asyncio.sleep(60)


async def reader_end(writer):
    """Leaves the caller time to take the answer."""
    for _ in range(50):
        if writer.transport.is_closing() or writer.transport.get_write_buffer_size() == 0:
            return
        await asyncio.sleep(0.01)
