"""Entry instances lose their path to all endpoints: new connections hang, are reset, or are refused while open ones live on.

One instance, a data centre, most or all are cut at a time. Checks while it runs that callers' first tries at the cut
instances are served as those at the others, that a request is refused at once where nobody can serve it, and at the end
that nothing ran twice or was refused although it ran, and that no stream has a gap.
"""

import asyncio
import collections
import dataclasses
import os
import pathlib
import time

import cut_checks
import run_support
import silence_checks
import version_checks
from callers import Callers
from cut_links import EXTENTS, WAYS, Cut, CutLinks, CutModelEndpoint, CutPlainEndpoint, Hole, choose_entries, play_cut
from faults import Faults
from silence_soak import CONFIGURATION, FIRST_STREAM_ID, MODEL_SERVICE, PLAIN_SERVICE, STAGES
from stream_callers import StreamCallers

# Each cut leaves some seconds in which first tries count.
MIN_CUT_S = cut_checks.CONTACT_S + 2.0
MAX_CUT_S = cut_checks.CONTACT_S + 4.0
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 3.0
# Streams per plain request.
STREAM_SHARE = 0.1
# Requests that were sent during a cut have ended this long after it.
SETTLE_S = 1.0
HOLE_INDEX = 90
LIBRARY_VARIABLE = "CASSIAUSHER_CUT_LINK"


@dataclasses.dataclass
class FirstTry:
    request: str
    entry: str
    sent_at: float
    ended_at: float
    status: int
    served: bool
    unsafe: bool


class EvenChoice:
    """Spreads callers evenly over the entry instances in rotation: one that stops soon takes no connections any more."""

    def choose_entry(self, avoided=None):
        entries = [entry for entry in self.balancer.in_rotation() if entry is not avoided]
        return self.random.choice(entries) if entries else None


class EvenCallers(EvenChoice, Callers):
    """Lookups. `unsafe` holds the ids of those that may run only once."""

    def __init__(self, session, balancer, seed):
        super().__init__(session, balancer, seed)
        self.unsafe = set()

    async def _send(self, attempt, entry, method, path, left):
        if method == "POST":
            self.unsafe.add(attempt.request)
        return await super()._send(attempt, entry, method, path, left)


class EvenStreamCallers(EvenChoice, StreamCallers):
    pass


class Cuts:
    """A seeded series of cuts, each way in turn; every fourth one takes all entry instances."""

    def __init__(self, run, links, first_tries):
        self.run = run
        self.links = links
        self.first_tries = first_tries
        self.cuts = []
        self.breaches = []
        self.log = []
        self.checks = []

    async def play(self, until):
        random = self.run.random
        while time.monotonic() + MAX_CUT_S < until:
            number = len(self.cuts)
            extent = "all" if number % 4 == 3 else random.choice(EXTENTS[:3])
            chosen = choose_entries(self.run.deployment.entries, extent, random)
            cut = Cut(WAYS[number % len(WAYS)], extent, frozenset(entry.name for entry in chosen), time.monotonic())
            self.cuts.append(cut)
            self.log.append(f"{time.monotonic():.2f} cut {cut}")
            await play_cut(self.links, chosen, cut, random.uniform(MIN_CUT_S, MAX_CUT_S))
            self.log.append(f"{time.monotonic():.2f} healed {cut}")
            self.checks.append(asyncio.create_task(self._check(cut)))
            await asyncio.sleep(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        await asyncio.gather(*self.checks)

    def _in_trouble(self, name, begin, end):
        entry = next(entry for entry in self.run.deployment.entries if entry.name == name)
        return entry.in_trouble(begin, end)

    async def _check(self, cut):
        await asyncio.sleep(SETTLE_S)
        tries = self.first_tries()
        breaches = cut_checks.find_unserved(cut, tries, self._in_trouble)
        breaches += cut_checks.find_held(cut, tries, self._in_trouble)
        counted = cut_checks.judged(cut, tries, self._in_trouble)
        at_cut = [tried for tried in counted if tried.entry in cut.entries]
        others = [tried for tried in counted if tried.entry not in cut.entries]
        print(f"cut {cut}: {cut_checks.served(at_cut)} of {len(at_cut)} first tries served, "
              f"{cut_checks.served(others)} of {len(others)} at the others", flush=True)
        self.breaches += breaches


def first_tries(callers, streams):
    """Those that have ended."""
    tries = [FirstTry(tried.request, tried.entry, tried.sent_at, tried.ended_at, tried.status,
                      tried.status == cut_checks.SERVED, tried.request in callers.unsafe)
             for tried in callers.attempts if tried.first and tried.ended_at]
    for stream in streams.streams:
        if stream.attempts:
            tried = stream.attempts[0]
            # A stream that has begun is served; what follows is checked at the end.
            ended_at = tried.events[0].at if tried.events else tried.ended_at
            if ended_at:
                tries.append(FirstTry(tried.request, tried.entry, tried.sent_at, ended_at, tried.status,
                                      bool(tried.events), False))
    return tries


def find_breaches(callers, streams, arrivals):
    tries = first_tries(callers, streams)
    # A stream that hung in a cut is taken up by its caller, so that it may run elsewhere.
    return (cut_checks.find_falsely_refused(tries, arrivals) + silence_checks.find_repeated(arrivals, callers.unsafe) +
            version_checks.find_gaps([stream for stream in streams.streams if stream.attempts]))


def print_summary(callers, streams):
    statuses = collections.Counter(attempt.status for attempt in callers.attempts)
    complete = sum(1 for stream in streams.streams if stream.complete())
    print(f"plain requests by status: {dict(sorted(statuses.items()))}")
    print(f"{len(streams.streams)} streams, {complete} complete, {len(streams.attempts)} tries")


async def play(options):
    arrivals = []
    async with run_support.Run(options) as run:
        hole = Hole(run.endpoint_ip(HOLE_INDEX))
        links = CutLinks(pathlib.Path(os.environ[LIBRARY_VARIABLE]), hole)
        for entry in run.deployment.entries:
            links.prepare(entry)
        for index, stage in enumerate(STAGES):
            data_centre = run.deployment.entries[index % len(run.deployment.entries)].data_centre
            common = (f"e-{index}-{stage or 'plain'}", MODEL_SERVICE if stage else PLAIN_SERVICE,
                      run.endpoint_ip(index), data_centre, "v1", arrivals)
            endpoint = (CutModelEndpoint(*common, stage=stage, seed=options.seed + index) if stage else
                        CutPlainEndpoint(*common, seed=options.seed + index, error_share=0))
            endpoint.links = links
            await run.add_endpoint(endpoint)
        await run.start(CONFIGURATION)
        callers = EvenCallers(run.session, run.balancer, options.seed)
        streams = EvenStreamCallers(run.session, run.balancer, options.seed)
        streams.next_id = FIRST_STREAM_ID
        cuts = Cuts(run, links, lambda: first_tries(callers, streams))
        faults = Faults(run.deployment, options.seed)
        end = time.monotonic() + options.seconds
        work = [callers.run(lambda now: options.rate, end), cuts.play(end),
                streams.run(lambda now: options.rate * STREAM_SHARE, end)]
        if options.faults:
            work.append(faults.run(options.seconds))
        await asyncio.gather(*work)
        await callers.finish()
        await streams.finish()
        hole.close()
        print_summary(callers, streams)
        return run.report(cuts.breaches + find_breaches(callers, streams, arrivals), cuts.log + faults.log)


if __name__ == "__main__":
    run_support.main(play, __doc__)
