"""What the runs share: options, start of a deployment with its configuration, and the report."""

import argparse
import asyncio
import contextlib
import logging
import os
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time

import aiohttp

import rate_limit_checks
from callers import Balancer
from deployment import Deployment

START_TIMEOUT_S = 60.0
# From a heartbeat at a control instance to the entry instances' registries.
REGISTRY_DELAY_S = 1.0
FIRST_BLOCK = 16
BLOCKS = 200
RESERVATION_PORT = 7659
TRANSIENT_FOLDER_PREFIX = "cassiausher-soak-"
# Connections stay open for many requests; the default limit of the client library would queue requests.
UNLIMITED_CONNECTIONS = 0


def parse_options(description):
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("binary", type=pathlib.Path, help="cassiausher_node")
    parser.add_argument("--old-binary", type=pathlib.Path, help="an earlier build, which every second instance runs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--rate", type=float, default=50, help="requests a second of all callers")
    parser.add_argument("--faults", action="store_true", help="kill, restart and freeze instances")
    parser.add_argument("--herds", action="store_true", help="kill all entry instances at once, again and again")
    parser.add_argument("--limits", action="store_true", help="some model runners name a rate limit")
    parser.add_argument("--bursts", action="store_true", help="all endpoints fail in one way, with many calls at once")
    parser.add_argument("--keep", action="store_true", help="keep logs and disks after a run without a breach")
    return parser.parse_args()


def reserve_block():
    """Returns a socket that keeps other runs off a block of addresses, and the block: the second number in 127.x."""
    for offset in range(BLOCKS):
        block = FIRST_BLOCK + (os.getpid() + offset) % BLOCKS
        holder = socket.socket()
        try:
            holder.bind((f"127.{block}.250.1", RESERVATION_PORT))
            return holder, block
        except OSError:
            holder.close()
    raise RuntimeError("no block of addresses is free")


class Run:
    """One deployment and the sessions of its callers and endpoints."""

    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=TRANSIENT_FOLDER_PREFIX))
        self.reservation, block = reserve_block()
        self.deployment = Deployment(self.folder, options.binary, block, options.entries, options.controls)
        if options.old_binary is not None:
            for instance in self.deployment.entries[1::2] + self.deployment.controls[1::2]:
                instance.binary = options.old_binary
        self.endpoints = []
        self.began_at = 0.0

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        connector = aiohttp.TCPConnector(limit=UNLIMITED_CONNECTIONS)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession(connector=connector))
        self.balancer = Balancer(self.session, self.deployment.entries)
        return self

    async def __aexit__(self, *error):
        await self.deployment.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.stack.aclose()
        self.reservation.close()

    def endpoint_ip(self, index):
        return f"127.{self.deployment.block}.200.{1 + index}"

    async def add_endpoint(self, endpoint):
        self.endpoints.append(endpoint)
        await endpoint.start(self.session, self.random.sample(self.deployment.control_urls(), self.options.controls))

    async def start(self, configuration):
        """Starts all processes and returns once every entry instance takes callers and has learned of the endpoints."""
        await self.deployment.start()
        await self._put(configuration)
        asyncio.create_task(self.balancer.run())
        deadline = time.monotonic() + START_TIMEOUT_S
        while len(self.balancer.in_rotation()) < len(self.deployment.entries):
            if time.monotonic() > deadline:
                raise RuntimeError(f"only {len(self.balancer.in_rotation())} entry instances are ready")
            await asyncio.sleep(0.2)
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.gather(*(endpoint.announced.wait() for endpoint in self.endpoints))
        await asyncio.sleep(REGISTRY_DELAY_S)
        self.began_at = time.monotonic()

    async def _put(self, configuration):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for url in self.deployment.control_urls():
                with contextlib.suppress(aiohttp.ClientError, asyncio.TimeoutError):
                    async with self.session.put(f"{url}/api/config", json=configuration,
                                                timeout=aiohttp.ClientTimeout(total=2)) as answer:
                        if answer.status == 200:
                            return
            await asyncio.sleep(0.2)
        raise RuntimeError("the configuration was not accepted")

    def report(self, breaches, faults):
        """Prints what was found and returns the exit status."""
        for breach in breaches:
            print(f"BREACH {breach}")
        if breaches:
            for line in faults:
                print(f"fault {line}")
            print(f"logs are kept in {self.folder}")
        elif not self.options.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        print(f"seed {self.options.seed}: {len(breaches)} breaches")
        return 1 if breaches else 0


def judged_arrivals(run, callers, arrivals):
    """The calls to endpoints that count against a limit: those of entry instances that nothing disturbed lately."""
    entries = {entry.name: entry for entry in run.deployment.entries}
    sender = {attempt.request: entries[attempt.entry] for attempt in callers.attempts}

    def counts(arrival):
        instance = sender.get(arrival.request)
        return instance is None or not any(
            arrival.at - rate_limit_checks.CONTACT_S <= at <= arrival.at for at in instance.troubles)

    return [arrival for arrival in arrivals if counts(arrival)]


def find_excess(run, endpoints, callers, arrivals):
    judged = judged_arrivals(run, callers, arrivals)
    breaches = []
    for endpoint in endpoints:
        times = sorted(arrival.at for arrival in judged if arrival.endpoint == endpoint.name)
        breaches += rate_limit_checks.find_excess(endpoint.name, endpoint.limits, times)
    return breaches


def main(play, description):
    """Runs `play(options)`, a coroutine that returns the exit status."""
    # A crashing endpoint resets the connections that its handlers write to.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    sys.exit(asyncio.run(play(parse_options(description))))
