"""Peers send any bytes to each port of each instance: noise, torn and spoiled requests, bodies with values at their limits,
greetings of the protocol between instances that go wrong, and messages between instances that no instance would send.

Checks that no process ends by itself, and that callers are answered and a change is accepted afterwards.
"""

import asyncio
import contextlib
import itertools
import json
import random
import time

import run_support
from deployment import CALLER_PORT, CONTROL_PORT, PEER_PORT, READINESS_PORT, RELAY_PORT
from endpoints import Endpoint
from odd_messages import OddMessages
from power_soak import CONFIGURATION, SERVICE, Operator

METRICS_PORT = 9464
TIMEOUT_S = 0.2
SENDERS = 40
RECOVERY_S = 10.0
MAX_NOISE_BYTES = 5000
VALUES = ("1e999", "-1e400", "9223372036854775808", "-1", "0", "1.5", "null", "true", "[]", "{}", '"\\ud800"', '"x"',
          "[" * 500, '{"a":' * 500, "18446744073709551616", '""')
HEADERS = ("Content-Length: -1", "Content-Length: 99999999999999999999", "Transfer-Encoding: chunked", "Expect: 100-continue",
           "Upgrade: websocket\r\nConnection: Upgrade", "Connection: close", "Host: ", "Last-Event-Id: 99999999999999999999",
           "X-Deadline-Ms: 1e99", "X-Deadline-Ms: -5", "X-Token-Counts: 1e99,2", "X-Prompt-Parts: ;;;=1e400",
           "Accept-Encoding: \xff", "X" * 9000 + ": 1")
PATHS = ("/", "/version/1", "/api/config", "/api/instances/a", "/api/instances/" + "%" * 300, "/api/ready", "/metrics", "*",
         "http://a/b", "/admin/v1/verdicts", "/admin/v1/verdicts/x", "/\xff\xfe", "/..//%00")
METHODS = ("GET", "PUT", "POST", "DELETE", "HEAD", "OPTIONS", "CONNECT", "PRI", "x" * 300)
HEARTBEAT = {
    "service": SERVICE, "address": "10.9.0.1:80", "zone": "dc-a", "slots": 4, "state": "ready", "seq": 1, "born": 5,
    "stage": "decode", "version": "v1", "models": [{"name": "m"}]
}
# ZMTP 3.1: signature, version, mechanism NULL, not a server.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x01NULL" + bytes(16) + bytes(32)


def command(name, content):
    body = bytes([len(name)]) + name + content
    return b"\x04" + bytes([len(body)]) + body


def frame(content, flags=0):
    if len(content) < 256:
        return bytes([flags, len(content)]) + content
    return bytes([flags | 2]) + len(content).to_bytes(8, "big") + content


READY = command(b"READY", b"\x0bSocket-Type" + (6).to_bytes(4, "big") + b"DEALER")


class OddPeers:

    def __init__(self, run, seed):
        self.random = random.Random(seed)
        self.deployment = run.deployment
        self.counts = {}
        # A cancellation alone may be swallowed by a wait that times out at the same moment.
        self.stopped = False
        ips = [instance.ip for instance in self.deployment.instances()]
        self.messages = OddMessages(self.random, ips + ["not-an-address", "e-0", SERVICE, "127.0.0.1:1"])

    def ports(self, instance):
        if instance.role == "control":
            return CONTROL_PORT, PEER_PORT, METRICS_PORT
        return CALLER_PORT, READINESS_PORT, RELAY_PORT, PEER_PORT, METRICS_PORT

    async def run(self):
        for number in itertools.count():
            instance = self.random.choice(self.deployment.instances())
            port = self.random.choice(self.ports(instance))
            if port == PEER_PORT:
                kinds = (self.noise, self.greeting, self.peer_messages, self.peer_messages, self.peer_messages)
            else:
                kinds = (self.noise, self.request, self.request, self.spoiled_request)
            kind = self.random.choice(kinds)
            self.counts[kind.__name__] = self.counts.get(kind.__name__, 0) + 1
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await asyncio.wait_for(self._send(instance, port, kind()), TIMEOUT_S * 4)
            if self.stopped:
                return
            if number % 20 == 0:
                await asyncio.sleep(0)

    async def _send(self, instance, port, content):
        reader, writer = await asyncio.open_connection(instance.ip, port)
        try:
            writer.write(content)
            if self.random.random() < 0.2:
                return
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(reader.read(65536), self.random.uniform(0.001, TIMEOUT_S))
        finally:
            if self.random.random() < 0.3:
                writer.transport.abort()
            writer.close()

    def noise(self):
        return self.random.randbytes(self.random.randint(1, MAX_NOISE_BYTES))

    def body(self):
        document = self.random.choice((HEARTBEAT, CONFIGURATION | {"version": 1}, {"routes": []}, {"handle": "a"}))
        text = json.dumps(document)
        spots = [i for i, c in enumerate(text) if c == ":"]
        at = self.random.choice(spots)
        end = min((text.find(c, at) for c in ",}]" if text.find(c, at) > 0), default=len(text))
        return (text[:at + 1] + self.random.choice(VALUES) + text[end:]).encode("latin-1")

    def request(self):
        body = self.body()
        lines = [f"{self.random.choice(METHODS)} {self.random.choice(PATHS)} HTTP/1.{self.random.choice('01')}", "Host: a.example"]
        if self.random.random() < 0.7:
            lines.append(f"Content-Length: {len(body)}")
        lines += self.random.sample(HEADERS, self.random.choice((0, 0, 1, 2)))
        request = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
        return request * self.random.choice((1, 1, 1, 3))

    def spoiled_request(self):
        request = bytearray(self.request())
        for _ in range(self.random.randint(1, 5)):
            request[self.random.randrange(len(request))] = self.random.randrange(256)
        return bytes(request[:self.random.randint(1, len(request))])

    def greeting(self):
        content = bytearray(GREETING + READY + command(b"PING", b"\x00\x00") + frame(self.noise()[:300], self.random.choice((0, 1))))
        for _ in range(self.random.randint(0, 3)):
            content[self.random.randrange(len(content))] = self.random.randrange(256)
        return bytes(content[:self.random.randint(1, len(content))])

    def peer_messages(self):
        sender = self.random.choice([instance.ip for instance in self.deployment.instances()] + ["x", "", "10.9.0.7"])
        return GREETING + READY + b"".join(frame(self.messages.node_message(sender)) for _ in range(self.random.randint(1, 5)))


async def check_serves(run, operator, breaches):
    for instance in run.deployment.instances():
        if not instance.running():
            breaches.append(f"{instance.name} ended by itself: {instance.process.returncode}")
    if breaches:
        return
    deadline = time.monotonic() + RECOVERY_S
    while not await operator.submit(run.deployment.controls[0]):
        if time.monotonic() > deadline:
            breaches.append(f"no change was accepted within {RECOVERY_S} s of the last odd bytes")
            return


async def play(options):
    async with run_support.Run(options) as run:
        await run.add_endpoint(Endpoint("e-0", SERVICE, run.endpoint_ip(0), run.deployment.entries[0].data_centre, "v1",
                                        []))
        await run.start(CONFIGURATION)
        peers = [OddPeers(run, options.seed * SENDERS + number) for number in range(SENDERS)]
        tasks = [asyncio.create_task(peer.run()) for peer in peers]
        until = time.monotonic() + options.seconds
        while time.monotonic() < until and all(instance.running() for instance in run.deployment.instances()):
            await asyncio.sleep(0.1)
        for peer in peers:
            peer.stopped = True
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        breaches = []
        await check_serves(run, Operator(run), breaches)
        sent = {kind: sum(peer.counts.get(kind, 0) for peer in peers) for kind in peers[0].counts}
        print(f"sent {sent}")
        return run.report(breaches, [])


if __name__ == "__main__":
    run_support.main(play, __doc__)
