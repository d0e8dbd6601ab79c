"""Endpoints name limits that rise, fall and end while instances are killed, restarted and frozen.

Checks that no endpoint gets more requests than its limit allows from all entry instances together, and that a limit
isn't left idle while callers are refused.
"""

import asyncio
import collections
import time

import rate_limit_checks as checks
import run_support
from callers import HOST, Callers, REFUSED_STATUSES
from endpoints import PlainEndpoint
from faults import Faults

SERVICE = "lookup"
ENDPOINTS = 3
# Longest time for which a request that is refused may have been held.
MAX_REFUSAL_S = 0.3
# Share of the refusals that may come later, as on a busy machine.
LATE_REFUSALS_SHARE = 0.05
LOWEST_LIMIT = 2.0
HIGHEST_LIMIT = 8.0

CONFIGURATION = {
    "version": 1,
    "routes": [{
        "name": f"r-{kind}", "host": HOST, "path-prefix": f"/{kind}/", "kind": kind, "timeout-ms": 600,
        "target-latency-ms": 100, "priority": 1, "service": SERVICE, "attempts": 1 if kind == "unsafe" else 2
    } for kind in ("safe", "unsafe")],
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}],
}


async def change_limits(endpoints, random, seconds):
    """First two of three endpoints name a limit, then all, then single limits change or end."""
    for endpoint in endpoints[:2]:
        endpoint.set_limit(round(random.uniform(LOWEST_LIMIT, HIGHEST_LIMIT), 1))
    await asyncio.sleep(seconds * 0.3)
    for endpoint in endpoints:
        endpoint.set_limit(round(random.uniform(LOWEST_LIMIT, HIGHEST_LIMIT), 1))
    await asyncio.sleep(seconds * 0.4)
    remaining = seconds * 0.25
    step = max(2.0, remaining / 4)
    while remaining > 0:
        endpoint = random.choice(endpoints)
        ends = endpoint.limit is not None and random.random() < 0.3
        endpoint.set_limit(None if ends else round(random.uniform(LOWEST_LIMIT, HIGHEST_LIMIT), 1))
        await asyncio.sleep(step)
        remaining -= step


def find_breaches(run, callers, arrivals):
    end = time.monotonic()
    refusals = sorted(attempt.ended_at for attempt in callers.attempts if attempt.status in REFUSED_STATUSES)
    troubles = sorted(at for instance in run.deployment.instances() for at in instance.troubles)

    def calm(begin, until):
        return not any(begin <= at <= until for at in troubles)

    breaches = run_support.find_excess(run, run.endpoints, callers, arrivals)
    for endpoint in run.endpoints:
        own = sorted(arrival.at for arrival in arrivals if arrival.endpoint == endpoint.name)
        breaches += checks.find_idle(endpoint.name, endpoint.limits, own, refusals, calm, end)
    late = [a for a in callers.attempts if a.status in REFUSED_STATUSES and a.ended_at - a.sent_at > MAX_REFUSAL_S]
    if len(late) > LATE_REFUSALS_SHARE * len(refusals) + 2:
        breaches.append(f"late refusals: {len(late)} of {len(refusals)} took over {MAX_REFUSAL_S:g} s")
    for breach in breaches:
        if isinstance(breach, checks.Breach):
            breach.at -= run.began_at
    return breaches


def print_summary(run, callers, arrivals):
    statuses = collections.Counter(attempt.status for attempt in callers.attempts)
    print(f"attempts by status: {dict(sorted(statuses.items()))}")
    for endpoint in run.endpoints:
        own = sum(1 for arrival in arrivals if arrival.endpoint == endpoint.name)
        limits = [f"{at - run.began_at:.1f} s: {limit}" for at, limit in endpoint.limits]
        print(f"{endpoint.name}: {own} requests; limits {', '.join(limits)}")


async def play(options):
    arrivals = []
    async with run_support.Run(options) as run:
        for index in range(ENDPOINTS):
            data_centre = run.deployment.entries[index % options.entries].data_centre
            await run.add_endpoint(PlainEndpoint(
                f"e-{index}", SERVICE, run.endpoint_ip(index), data_centre, "v1", arrivals, seed=options.seed + index))
        await run.start(CONFIGURATION)
        callers = Callers(run.session, run.balancer, options.seed)
        faults = Faults(run.deployment, options.seed)
        until = time.monotonic() + options.seconds
        work = [callers.run(lambda now: options.rate, until), change_limits(run.endpoints, run.random, options.seconds)]
        if options.faults:
            work.append(faults.run(options.seconds - 2))
        await asyncio.gather(*work)
        await callers.finish()
        print_summary(run, callers, arrivals)
        return run.report(find_breaches(run, callers, arrivals), faults.log)


if __name__ == "__main__":
    run_support.main(play, __doc__)
