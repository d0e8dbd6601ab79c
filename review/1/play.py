"""The core and one front are killed at once: a server's acknowledged departure is lost, and a late heartbeat makes the
server ready again at the front that started anew."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from stand_ins import CONTACT_S, CONTROL_PORT, DRAIN_S, CannotRun, Deployment, Server, call, main, request

HOST = "a.example"
SERVICE = "lookups"
# Of two: the site's largest herd_kill has a share of 0.55. On the core, all are killed.
KILLED_FRONTS = 1
# From the kill to the start of the new processes; the pages allow a second.
DOWN_S = 0.5
# After the start of the new processes.
LATE_HEARTBEAT_S = 3.2
JUDGED_FROM_S = 3.5
JUDGED_FOR_S = 3.0
PERIOD_S = 0.05

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-unsafe", "host": HOST, "path-prefix": "/unsafe/", "kind": "unsafe", "timeout-ms": 600,
                "target-latency-ms": 100, "priority": 2, "service": SERVICE, "attempts": 1},
               {"name": "r-safe", "host": HOST, "path-prefix": "/safe/", "kind": "safe", "timeout-ms": 600,
                "target-latency-ms": 100, "priority": 2, "service": SERVICE, "attempts": 2}],
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
}


async def clients(deployment, until):
    """Some 20 requests a second, spread over the fronts. Returns the answers by request."""
    answers = {}
    open_requests = set()
    number = 0

    async def one(number):
        front = deployment.fronts[number % len(deployment.fronts)]
        method, path = ("POST", "/unsafe/") if number % 2 else ("GET", "/safe/")
        name, status, _ = await request(deployment, front, number, method, path, HOST)
        answers[name] = status

    while time.monotonic() < until:
        number += 1
        task = asyncio.create_task(one(number))
        open_requests.add(task)
        task.add_done_callback(open_requests.discard)
        await asyncio.sleep(PERIOD_S)
    if open_requests:
        await asyncio.wait(open_requests)
    return answers


async def play(record, trouble):
    deployment = Deployment(record)
    try:
        deployment.servers = [Server(deployment, f"i-{index}", SERVICE, index) for index in range(4)]
        await deployment.start(CONFIG)
        await asyncio.sleep(CONTACT_S + 1)

        leaving = deployment.servers[3]
        # This heartbeat is held up on its way to core-0; the server's next ones get through.
        late = leaving.heartbeat()
        record.note(f"{leaving.name}: sends heartbeat {late['seq']}, which is held up")
        await asyncio.sleep(0.2)
        left_at = await leaving.depart()
        record.say(f"{leaving.name}: its departure is acknowledged")
        await asyncio.sleep(0.3)

        if trouble:
            await deployment.kill(deployment.cores + deployment.fronts[:KILLED_FRONTS], DOWN_S)
        began = time.monotonic()
        await deployment.wait_ready(deployment.fronts)
        await asyncio.sleep(max(0, began + LATE_HEARTBEAT_S - time.monotonic()))
        core = deployment.cores[0]
        status, _, _ = await call(core.ip, CONTROL_PORT, "PUT", f"/api/instances/{leaving.name}", late)
        record.say(f"{leaving.name}: heartbeat {late['seq']} arrives at {core.name}: {status}")

        # All machines are in touch from here on.
        await asyncio.sleep(max(0, began + JUDGED_FROM_S - time.monotonic()))
        judged_from = time.monotonic()
        answers = await clients(deployment, judged_from + JUDGED_FOR_S)
        served = sum(1 for status in answers.values() if status == 200)
        record.say(f"{len(answers)} requests, {served} answered 200")
        if served < len(answers) / 2:
            raise CannotRun("too few requests were served")
        after = [(at, name) for at, name in leaving.arrivals if at >= max(judged_from, left_at + DRAIN_S)]
        record.say(f"{len(after)} requests reached {leaving.name} later than {DRAIN_S} s after the acknowledgement")
        if not after:
            return []
        first, name = after[0]
        return [f"DRAIN: {len(after)} requests reached {leaving.name}, the first one ({name}) "
                f"{first - left_at:.1f} s after its departure was acknowledged"]
    finally:
        await deployment.stop()


main(play)
