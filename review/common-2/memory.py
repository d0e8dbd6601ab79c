"""The platform's limit of memory, and ordinary clients that lose requests when a process is killed for it."""

import asyncio
import time

from deployment import MEMORY_MB
from standins import CALLER_PORT, HOST, read_answer, request_bytes

MEMORY_POLL_S = 0.02
RESTART_DELAY_S = 0.3
# A generous reading of memory-mb.
MEMORY_LIMIT_KB = MEMORY_MB["entry"] * 1024


class Platform:
    """Kills a process that uses more than memory-mb and starts it again after a short delay."""

    def __init__(self, entry, record):
        self.entry, self.record = entry, record
        self.highest_kb = 0
        self.kills = 0

    async def watch(self):
        while True:
            await asyncio.sleep(MEMORY_POLL_S)
            if not self.entry.running():
                continue
            resident = self.entry.resident_kb()
            self.highest_kb = max(self.highest_kb, resident)
            if resident <= MEMORY_LIMIT_KB:
                continue
            self.kills += 1
            self.record.add(f"{self.entry.name} uses {resident} kB, more than memory-mb: it is killed")
            self.entry.process.kill()
            self.entry.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            self.entry.start()


class Orders:
    """An ordinary client on a kept connection: one unsafe request after the other."""

    def __init__(self, number, entry, record, lost):
        self.number, self.entry, self.record, self.lost = number, entry, record, lost

    async def run(self, until):
        count = 0
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.entry.ip, CALLER_PORT)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            first = True
            while time.monotonic() < until:
                request = f"order-{self.number}-{count}"
                count += 1
                writer.write(request_bytes("POST", "/orders/x", {"Host": HOST, "X-Request-Id": request,
                                                                 "X-Deadline-Ms": "5000"}, b"one pair"))
                answer = await read_answer(reader)
                if answer is None or not answer.complete:
                    self.record.add(f"{request}: the connection ended without an answer")
                    if not first:
                        self.lost.append(request)
                    break
                self.record.add(f"{request}: {answer}")
                first = False
                await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
            writer.close()
