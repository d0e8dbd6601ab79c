"""Callers, probes and scrapers that don't keep connections open them and close them, with and without a request.

Checks that what has ended leaves nothing in the memory of an instance: libsoup 3.2 kept 340 bytes of each connection.
"""

import asyncio
import socket

import run_support
from deployment import CONTROL_PORT
from endpoints import Endpoint
from power_soak import CONFIGURATION, SERVICE

CONNECTIONS = 6000
# The first ones fill caches of the allocator.
WARM_UP = 2000
# What a process may grow by for other reasons; the connections would leave 2,000.
MAX_GROWTH_KB = 800
REQUEST = b"GET /api/config HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def resident_kb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def open_and_close(ip, count, request):
    for _ in range(count):
        with socket.create_connection((ip, CONTROL_PORT), timeout=2) as connection:
            if request:
                connection.sendall(request)
                while connection.recv(65536):
                    pass


async def play(options):
    async with run_support.Run(options) as run:
        await run.add_endpoint(Endpoint("e-0", SERVICE, run.endpoint_ip(0), run.deployment.entries[0].data_centre, "v1",
                                        []))
        await run.start(CONFIGURATION)
        breaches = []
        control = run.deployment.controls[0]
        for name, request in (("without a request", b""), ("with a request", REQUEST)):
            await asyncio.to_thread(open_and_close, control.ip, WARM_UP, request)
            before = resident_kb(control.process)
            await asyncio.to_thread(open_and_close, control.ip, CONNECTIONS, request)
            growth = resident_kb(control.process) - before
            print(f"{CONNECTIONS} connections {name}: {growth} kB more")
            if growth > MAX_GROWTH_KB:
                breaches.append(f"{growth} kB more after {CONNECTIONS} connections {name}")
        return run.report(breaches, [])


if __name__ == "__main__":
    run_support.main(play, __doc__)
