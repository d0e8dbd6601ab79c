"""The core is killed while a server is cut off from it; the server's departure is then acknowledged and forgotten."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from lookups import CONFIG, SERVICE, Lookups
from stand_ins import CONTACT_S, DRAIN_S, Deployment, Server, main

CUT_S = 5.0
KILL_AFTER_S = 0.5
DOWN_S = 0.5
# After the acknowledgement of the departure.
JUDGED_FROM_S = DRAIN_S + 0.2
JUDGED_FOR_S = 5.0


async def play(record, trouble):
    deployment = Deployment(record)
    lookups = Lookups(deployment)
    try:
        deployment.servers = [Server(deployment, f"i-{index}", SERVICE, index) for index in range(4)]
        await deployment.start(CONFIG)
        await lookups.start()
        await asyncio.sleep(CONTACT_S + 1)

        leaving = deployment.servers[3]
        began = time.monotonic()
        if trouble:
            leaving.cut_off(True)
            await asyncio.sleep(KILL_AFTER_S)
            await deployment.kill(deployment.cores, DOWN_S)
        await asyncio.sleep(max(0, began + CUT_S - time.monotonic()))
        leaving.cut_off(False)
        left_at = await leaving.depart()
        record.say(f"{leaving.name}: its departure is acknowledged")
        await asyncio.sleep(JUDGED_FROM_S + JUDGED_FOR_S)
        lookups.check_served()
        after = [(at, name) for at, name in leaving.arrivals if at >= left_at + JUDGED_FROM_S]
        record.say(f"{len(after)} requests reached {leaving.name} later than {JUDGED_FROM_S} s after that")
        if not after:
            return []
        return [f"DRAIN: {len(after)} requests reached {leaving.name}, the last one ({after[-1][1]}) "
                f"{after[-1][0] - left_at:.1f} s after its departure was acknowledged"]
    finally:
        await lookups.stop()
        await deployment.stop()


main(play)
