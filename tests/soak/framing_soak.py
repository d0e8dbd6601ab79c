"""Clients send requests whose framing isn't sound, and sound ones with trailers, to each HTTP listener of each instance.

Checks that nothing of an unsound request is run or answered but for one refusal, and that a sound one and the next on its
connection are each answered once, by their own answers at the callers' listener (issue 56).
"""

import random
import time

import run_support
from deployment import CALLER_PORT, CONTROL_PORT, READINESS_PORT, RELAY_PORT
from endpoints import PlainEndpoint
from odd_framing import Framings, check
from odd_bytes_soak import METRICS_PORT
from power_soak import CONFIGURATION, SERVICE

PATHS = {CALLER_PORT: "/version/x", CONTROL_PORT: "/api/none", READINESS_PORT: "/none", RELAY_PORT: "/version/x", METRICS_PORT: "/none"}


def listeners(deployment):
    for instance in deployment.instances():
        ports = (CONTROL_PORT, METRICS_PORT) if instance.role == "control" else (CALLER_PORT, READINESS_PORT, RELAY_PORT, METRICS_PORT)
        yield from ((instance.ip, port) for port in ports)


async def play(options):
    async with run_support.Run(options) as run:
        arrivals = []
        await run.add_endpoint(PlainEndpoint("e-0", SERVICE, run.endpoint_ip(0), run.deployment.entries[0].data_centre, "v1",
                                             arrivals, seed=options.seed, error_share=0))
        await run.start(CONFIGURATION)
        source = random.Random(options.seed)
        host = CONFIGURATION["routes"][0]["host"]
        framings = {port: Framings(source, host, path) for port, path in PATHS.items()}
        breaches, checks = [], 0
        until = time.monotonic() + options.seconds
        while time.monotonic() < until and len(breaches) < 20:
            for address in listeners(run.deployment):
                answers, number = await check(address, framings[address[1]], breaches)
                checks += 1
                if address[1] != CALLER_PORT:
                    continue
                ids = [answer[1] for answer in answers[:2] if isinstance(answer, tuple)]
                if ids != [f"sound-{number}", f"whole-{number + 1}"]:
                    breaches.append(f"{address}: answers to other requests: {answers}")
        hidden = framings[CALLER_PORT].hidden
        breaches += [f"{arrival.request} was run" for arrival in arrivals if arrival.request in hidden]
        print(f"{checks} checks, {len(hidden)} hidden requests at callers' listeners, {len(arrivals)} requests were run")
        return run.report(breaches, [])


if __name__ == "__main__":
    run_support.main(play, __doc__)
