"""The core and one front are killed at once: a server's acknowledged departure is lost, and a late heartbeat makes the
server ready again at the front that started anew."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from lookups import CONFIG, SERVICE, Lookups
from stand_ins import CONTACT_S, CONTROL_PORT, DRAIN_S, Deployment, Server, call, main

# Of two: the site's largest herd_kill has a share of 0.55. On the core, all are killed.
KILLED_FRONTS = 1
# From the kill to the start of the new processes; the pages allow a second.
DOWN_S = 0.5
# After the start of the new processes.
LATE_HEARTBEAT_S = 3.2
JUDGED_FROM_S = 3.5
JUDGED_FOR_S = 3.0


async def play(record, trouble):
    deployment = Deployment(record)
    lookups = Lookups(deployment)
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
        await lookups.start()
        await asyncio.sleep(JUDGED_FOR_S)
        lookups.check_served()
        after = [(at, name) for at, name in leaving.arrivals if at >= max(judged_from, left_at + DRAIN_S)]
        record.say(f"{len(after)} requests reached {leaving.name} later than {DRAIN_S} s after the acknowledgement")
        if not after:
            return []
        first, name = after[0]
        return [f"DRAIN: {len(after)} requests reached {leaving.name}, the first one ({name}) "
                f"{first - left_at:.1f} s after its departure was acknowledged"]
    finally:
        await lookups.stop()
        await deployment.stop()


main(play)
