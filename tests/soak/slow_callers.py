"""Callers that read large answers at their own pace, through small windows, on connections that they keep."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import time

from callers import HOST
from deployment import CALLER_PORT

# The kernel allows twice this size; with small segments a sender's bytes stay in its own buffers.
RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 536
CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 12.0
# Answers to 404 and 503 are as much part of the mix as large answers and streams.
PATHS = ("/large/", "/large/", "/stream/", "/long/", "/long/", "/small/", "/unknown/", "/empty/")
MAX_REQUESTS_PER_CONNECTION = 6
PIPELINED_SHARE = 0.3
# These close their connection in the middle of an answer.
LEAVING_SHARE = 0.1
LEAVING_READS = 3
LEAVING_TIMEOUT_S = 0.5
HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass
class SlowAttempt:
    """One request on a connection. `sent_at` is the time of its last byte; `began` whether any byte of its answer came."""
    request: str
    entry: str
    path: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    began: bool = False
    complete: bool = False
    body_bytes: int = 0
    # The caller sent it while an earlier answer of the connection was due.
    pipelined: bool = False
    # An earlier answer on the connection announced its end.
    after_close: bool = False
    # The caller never reads the end of the answer.
    stalled: bool = False
    # The caller closed the connection before the end of the answer.
    left: bool = False
    error: str = ""


class ConnectionEnded(Exception):
    """The other side closed or reset the connection."""


class SlowConnection:
    """A connection with a small window, which is read `bytes_per_read` every `pause_s`."""

    def __init__(self, bytes_per_read, pause_s):
        self.bytes_per_read = bytes_per_read
        self.pause_s = pause_s
        self.received = b""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)

    async def connect(self, ip, port):
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(loop.sock_connect(self.socket, (ip, port)), CONNECT_TIMEOUT_S)

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self):
        try:
            data = await asyncio.get_running_loop().sock_recv(self.socket, self.bytes_per_read)
        except ConnectionError as error:
            raise ConnectionEnded("reset") from error
        if not data:
            raise ConnectionEnded("closed")
        await asyncio.sleep(self.pause_s)
        return data

    async def until(self, mark):
        while mark not in self.received:
            self.received += await self.receive()
        head, _, self.received = self.received.partition(mark)
        return head

    async def exactly(self, size):
        """Reads and drops `size` bytes."""
        while len(self.received) < size:
            size -= len(self.received)
            self.received = b""
            self.received = await self.receive()
        self.received = self.received[size:]

    def close(self):
        self.socket.close()


async def read_answer(connection, attempt):
    """Reads one answer to its end; returns its headers. Raises ConnectionEnded if it is cut."""
    attempt.began = bool(connection.received)
    if not attempt.began:
        connection.received = await connection.receive()
        attempt.began = True
    head = (await connection.until(HEAD_END)).decode("latin-1")
    lines = head.split("\r\n")
    attempt.status = int(lines[0].split()[1])
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    if headers.get("transfer-encoding") == "chunked":
        await _read_chunks(connection, attempt)
    else:
        attempt.body_bytes = int(headers.get("content-length", 0))
        await connection.exactly(attempt.body_bytes)
    attempt.complete = True
    return headers


async def _read_chunks(connection, attempt):
    while True:
        size = int(await connection.until(b"\r\n"), 16)
        await connection.exactly(size)
        attempt.body_bytes += size
        await connection.until(b"\r\n")
        if size == 0:
            return


class SlowCallers:
    """A fixed number of callers, each with its own pace, that send requests one after another."""

    def __init__(self, balancer, seed):
        self.balancer = balancer
        self.random = random.Random(seed)
        self.attempts = []
        self.next_id = 0

    async def run(self, count, until):
        await asyncio.gather(*(self._caller(until) for _ in range(count)))

    async def _caller(self, until):
        while time.monotonic() < until:
            entries = self.balancer.in_rotation()
            if not entries:
                await asyncio.sleep(0.1)
                continue
            await self._use_connection(self.random.choice(entries))

    async def _use_connection(self, entry):
        connection = SlowConnection(self.random.choice((2048, 4096)), self.random.uniform(0.004, 0.012))
        try:
            await connection.connect(entry.ip, CALLER_PORT)
        except (OSError, asyncio.TimeoutError):
            connection.close()
            return await asyncio.sleep(0.05)
        due = []
        try:
            if self.random.random() < LEAVING_SHARE:
                return await self._leave(connection, entry)
            for _ in range(self.random.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                wanted = 2 if self.random.random() < PIPELINED_SHARE else 1
                if await self._exchange(connection, entry, due, wanted):
                    return
            if due:
                await self._exchange(connection, entry, due, wanted=1)
        finally:
            connection.close()

    async def _leave(self, connection, entry):
        with contextlib.suppress(ConnectionError, ConnectionEnded, TimeoutError):
            attempt = await self._send(connection, entry, pipelined=False)
            attempt.left = True
            async with asyncio.timeout(LEAVING_TIMEOUT_S):
                for _ in range(self.random.randrange(LEAVING_READS)):
                    await connection.receive()

    async def _exchange(self, connection, entry, due, wanted):
        """Sends until `wanted` requests are due and reads the answer to the first. Returns whether the connection has ended."""
        try:
            while len(due) < wanted:
                due.append(await self._send(connection, entry, pipelined=bool(due)))
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

    async def _send(self, connection, entry, pipelined):
        self.next_id += 1
        attempt = SlowAttempt(f"{self.next_id:016x}", entry.name, self.random.choice(PATHS), pipelined=pipelined)
        await connection.send(request_bytes(attempt))
        attempt.sent_at = time.monotonic()
        self.attempts.append(attempt)
        return attempt


def request_bytes(attempt):
    return (f"GET {attempt.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {attempt.request}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n").encode()
