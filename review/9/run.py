"""A chunked request whose trailer section holds another request, and one whose trailer section has two ordinary fields."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from deployment import Deployment
from standins import CALLER_PORT, HOST, Runner, configuration, main, read_answer, request_bytes, route, serve

ROUNDS = 5
ANSWER_WAIT_S = 1.0
BODY = b"size 31"


def chunked(request, trailers):
    """A whole chunked request of an ordinary client; `trailers` is the trailer section without its blank line."""
    head = (f"POST /stock/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 600\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()
    return head + f"{len(BODY):x}\r\n".encode() + BODY + b"\r\n0\r\n" + trailers + b"\r\n"


async def answers_to(entry, record, sent):
    """Sends each of `sent` (name, bytes) on one connection, after the answer to the one before. Returns all answers."""
    reader, writer = await asyncio.open_connection(entry.ip, CALLER_PORT)
    answers = []
    for name, data in sent:
        record.add(f"sent on one connection: {name}: {data!r}")
        writer.write(data)
        try:
            answer = await asyncio.wait_for(read_answer(reader), ANSWER_WAIT_S)
        except asyncio.TimeoutError:
            answer = None
        record.add(f"answer that follows {name}: {answer if answer is not None else 'none'}")
        answers.append(answer)
    try:
        extra = await asyncio.wait_for(reader.read(4096), ANSWER_WAIT_S)
        record.add(f"further bytes on that connection: {extra!r}")
    except (asyncio.TimeoutError, ConnectionError):
        pass
    writer.close()
    return answers


async def play(record, trouble):
    deployment = Deployment(entries=1)
    runners = [Runner(deployment, index, "kiosk-app", record) for index in range(3)]
    try:
        await serve(deployment, runners,
                    configuration([route("stock-check", "/stock/", "kiosk-app", "unsafe", 600)], ["kiosk-app"]), record)
        entry = deployment.entries[0]
        sent = set()
        for number in range(ROUNDS):
            outer, inner = f"outer-{number}", f"inner-{number}"
            hidden = request_bytes("POST", "/stock/hidden", {"Host": HOST, "X-Request-Id": inner})
            # The blank line that ends the hidden request's head also ends the trailer section.
            trailers = b"Digest: none\r\n" + hidden.removesuffix(b"\r\n") if trouble else b""
            sent.add(outer)
            await answers_to(entry, record, [(outer, chunked(outer, trailers))])
        kept = [f"kept-{number}" for number in range(2)]
        sent.update(kept)
        fields = b"X-Checksum: 5d41402a\r\nX-Checksum-Signed: 9f86d081\r\n" if trouble else b""
        answers = await answers_to(entry, record, [
            (kept[0], chunked(kept[0], fields)),
            (kept[1], request_bytes("POST", "/stock/y", {"Host": HOST, "X-Request-Id": kept[1]}, BODY))])
        foreign = answers[1] is not None and answers[1].headers.get("x-request-id") != kept[1]
        record.add(f"an ordinary request after a chunked one with two trailer fields got an answer that isn't its own: {foreign}")
        run = [request for runner in runners for request, *_ in runner.runs]
        smuggled = [request for request in run if request not in sent]
        record.add(f"requests that no client sent and that a runner ran: {smuggled}")
        return bool(smuggled)
    finally:
        for runner in runners:
            await runner.stop()
        deployment.stop()


main(play, pathlib.Path(__file__).parent)
