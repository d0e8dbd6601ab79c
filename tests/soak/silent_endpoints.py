"""Endpoints that run as processes of their own, so that they can be stopped for a while without closing connections.

Run as a script, this is the process of one endpoint: it takes its description as JSON and prints what reaches it.
"""

import asyncio
import json
import logging
import pathlib
import signal
import sys
import time

import aiohttp

from endpoints import Arrival, ModelEndpoint, PlainEndpoint

ARRIVAL_FIELDS = 4
ANNOUNCED_LINE = "announced"


class EndpointProcess:
    """One endpoint. `silences` holds the begin and end of each of its silences."""

    def __init__(self, name, service, ip, data_centre, stage, seed, arrivals):
        self.name = name
        self.stage = stage
        self.description = {
            "name": name, "service": service, "ip": ip, "data_centre": data_centre, "stage": stage, "seed": seed
        }
        self.arrivals = arrivals
        self.silences = []
        self.silent = False
        self.process = None
        self.reader = None
        self.announced = asyncio.Event()

    async def start(self, _session, control_urls):
        description = json.dumps(self.description | {"control_urls": control_urls})
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(pathlib.Path(__file__).resolve()), description, stdout=asyncio.subprocess.PIPE)
        self.reader = asyncio.create_task(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            if line.decode().strip() == ANNOUNCED_LINE:
                self.announced.set()
            fields = line.decode().rstrip("\n").split("\t")
            if len(fields) == ARRIVAL_FIELDS:
                self.arrivals.append(Arrival(float(fields[0]), *fields[1:]))

    async def fall_silent(self, for_s):
        """The process neither reads nor writes for this time, and goes on where it was."""
        begin = time.monotonic()
        self.silent = True
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.process.send_signal(signal.SIGCONT)
        self.silent = False
        self.silences.append((begin, time.monotonic()))

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reader


class PrintedArrivals:
    """Takes the place of a list of arrivals."""

    def append(self, arrival):
        print(arrival.at, arrival.endpoint, arrival.request, arrival.kind, sep="\t", flush=True)


async def serve(description):
    common = (description["name"], description["service"], description["ip"], description["data_centre"], "v1",
              PrintedArrivals())
    if description["stage"] is None:
        endpoint = PlainEndpoint(*common, seed=description["seed"], error_share=0)
    else:
        endpoint = ModelEndpoint(*common, stage=description["stage"], seed=description["seed"])
    async with aiohttp.ClientSession() as session:
        await endpoint.start(session, description["control_urls"])
        await endpoint.announced.wait()
        print(ANNOUNCED_LINE, flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    # An entry instance closes connections that the handlers still write to.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    asyncio.run(serve(json.loads(sys.argv[1])))
