"""Requests whose framing isn't sound, and sound ones with trailers, and what a server does with them on a connection.

What an answer to each is follows from RFC 9112: 400 or another refusal once, then the end of the connection; or one answer
to each of two requests.
"""

import asyncio

ANSWER_WAIT_S = 3.0
BODY = b"size 31"
CODED = "Transfer-Encoding: chunked\r\n\r\n7\r\nsize 31\r\n"
# What stands behind a head's Host field, or behind `CODED`, before the hidden request.
UNSOUND_FIELDS = ("Content-Length: +0", "Content-Length: -1", "Content-Length: 0x0", "Content-Length: 0\r\nContent-Length: 9",
                  "Content-Length: 18446744073709551616", "Content-Length : 0", "Content-Length: 0\r\nTransfer-Encoding: chunked",
                  "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
                  "X: a\r\n Content-Length: 9", "X: a\nContent-Length: 9", "X: a\rY: b", "X", ": a", "Host: b")
UNSOUND_CHUNKS = ("0\n\r\n\r\n", "-1\r\n\r\n", "0x0\r\n\r\n", "g\r\n\r\n", " 0\r\n\r\n", "10000000000000000\r\n\r\n",
                  "7\r\nsize 31x\r\n0\r\n\r\n", "0\r\nDigest: none\r\n", "0\r\nX : a\r\n\r\n", "0\r\nContent-Length: 9\r\n\r\n")
UNSOUND_LINES = ("POST /[ HTTP/1.1", "POST x HTTP/1.1", "POST /%zz HTTP/1.1", "POST /x y HTTP/1.1", "POST /x HTTP/2.0",
                 "CONNECT a:80 HTTP/1.1", "POST //a:b@[ HTTP/1.1")
SOUND_ENDS = ("0\r\n\r\n", "0\r\nX: a\r\n\r\n", "0\r\nX: a\r\nY: b\r\n\r\n", "000;a=b\r\nX: GET / HTTP/1.1\r\n\r\n",
              "1;a=\"b;c\"\r\n!\r\n0\r\nX:\r\n\r\n")


class Framings:
    """Makes requests with their ids for one path."""

    def __init__(self, source, host, path):
        self.random, self.host, self.path = source, host, path
        self.number = 0
        # Of requests that no client has sent.
        self.hidden = set()

    def id(self, kind):
        self.number += 1
        return f"{kind}-{self.number}"

    def head(self, request_id, line=None):
        line = line or f"POST {self.path} HTTP/1.1"
        return f"{line}\r\nHost: {self.host}\r\nX-Request-Id: {request_id}\r\n"

    def whole(self):
        return (self.head(self.id("whole")) + "Content-Length: 7\r\n\r\n").encode() + BODY

    def sound_chunked(self):
        return (self.head(self.id("sound")) + CODED + self.random.choice(SOUND_ENDS)).encode()

    def unsound(self):
        """An unsound request; what it hides is whole."""
        hidden = self.id("hidden")
        self.hidden.add(hidden)
        outer = self.id("unsound")
        self.hidden.add(outer)
        inner = self.head(hidden) + "Content-Length: 0\r\n\r\n"
        kind = self.random.randrange(3)
        if kind == 0:
            return (self.head(outer) + self.random.choice(UNSOUND_FIELDS) + "\r\n\r\n" + inner).encode()
        if kind == 1:
            return (self.head(outer) + CODED + self.random.choice(UNSOUND_CHUNKS) + inner).encode()
        return (self.head(outer, self.random.choice(UNSOUND_LINES)) + "\r\n" + inner).encode()


async def read_answer(reader):
    """The status of the next answer with its id, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
    await reader.readexactly(int(fields.get("content-length", 0)))
    return int(head.split(" ")[1]), fields.get("x-request-id")


async def answers_to(address, pieces, expected):
    """Sends the pieces, with a moment between, and reads up to `expected` answers and one that nobody asked for."""
    reader, writer = await asyncio.open_connection(*address)
    answers = []
    try:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        for _ in range(expected):
            answers.append(await asyncio.wait_for(read_answer(reader), ANSWER_WAIT_S))
        try:
            answers.append(await asyncio.wait_for(read_answer(reader), 0.05))
        except asyncio.TimeoutError:
            answers.append("open")
    except (asyncio.TimeoutError, ConnectionError) as error:
        answers.append(repr(error))
    finally:
        writer.close()
    return answers


def cut(source, data):
    """In pieces, or as a whole."""
    if source.random() < 0.5:
        return [data]
    at = sorted(source.sample(range(1, len(data)), min(4, len(data) - 1)))
    return [data[begin:end] for begin, end in zip([0] + at, at + [len(data)])]


async def check(address, framings, breaches):
    """One connection with an unsound request, first or second, and one with two sound ones."""
    source = framings.random
    before = [framings.whole()] if source.random() < 0.5 else []
    request = framings.unsound()
    answers = await answers_to(address, cut(source, b"".join(before) + request), len(before) + 1)
    refused = len(answers) == len(before) + 2 and answers[-1] is None and answers[-2] is not None and answers[-2][0] >= 400
    if not refused:
        breaches.append(f"{address}: {request!r} after {len(before)} sound requests got {answers}")
    sent = framings.sound_chunked()
    number = framings.number
    answers = await answers_to(address, cut(source, sent + framings.whole()), 2)
    if len(answers) != 3 or None in answers or answers[-1] != "open":
        breaches.append(f"{address}: {sent!r} and the request after it got {answers}")
    return answers, number
