"""Plain lookups, safe and unsafe ones, sent all the time and spread over the fronts."""

import asyncio

from stand_ins import CannotRun, request

HOST = "a.example"
SERVICE = "lookups"
PERIOD_S = 0.05


def route(name, prefix, kind, attempts, service=SERVICE):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind, "timeout-ms": 600,
            "target-latency-ms": 100, "priority": 2, "service": service, "attempts": attempts}


CONFIG = {
    "version": 7,
    "routes": [route("r-unsafe", "/unsafe/", "unsafe", 1), route("r-safe", "/safe/", "safe", 2)],
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
}


class Lookups:
    def __init__(self, deployment):
        self.deployment = deployment
        self.answers = {}
        self.open = set()
        self.number = 0
        self.task = None

    async def start(self):
        self.task = asyncio.create_task(self._send_all())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
        if self.open:
            await asyncio.wait(self.open)

    def check_served(self):
        served = sum(1 for status in self.answers.values() if status == 200)
        self.deployment.record.say(f"{len(self.answers)} requests, {served} answered 200")
        if served < len(self.answers) / 2:
            raise CannotRun("too few requests were served")

    async def _send_all(self):
        while True:
            self.number += 1
            task = asyncio.create_task(self._send(self.number))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
            await asyncio.sleep(PERIOD_S)

    async def _send(self, number):
        front = self.deployment.fronts[number % len(self.deployment.fronts)]
        method, path = ("POST", "/unsafe/") if number % 2 else ("GET", "/safe/")
        name, status, _ = await request(self.deployment, front, number, method, path, HOST)
        self.answers[name] = status
