"""Whether endpoints got more requests than the limits that they named allow, and whether the limits were used.

Pure functions over what endpoints and callers recorded; times are seconds.
"""

import bisect
import dataclasses

WINDOW_S = 4.0
# Time after an endpoint first names a limit until the limit has to be kept.
CONTACT_S = 3.0
# A change of a limit has reached the entry instances after this time.
NOTICE_S = 0.5
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
# Share of a limit that has to be used while callers are refused.
USED_SHARE = 0.5


@dataclasses.dataclass
class Breach:
    """`count` requests in the window from `at`, with the bound that this breaks."""
    what: str
    endpoint: str
    at: float
    count: int
    bound: float

    def __str__(self):
        return f"{self.what}: {self.endpoint} at {self.at:.2f} s: {self.count} requests in {WINDOW_S:g} s, bound {self.bound:.1f}"


def limit_spans(limits, end):
    """(begin, end, limit) for each stretch in which one limit was named."""
    spans = []
    for index, (begin, limit) in enumerate(limits):
        until = limits[index + 1][0] if index + 1 < len(limits) else end
        if limit is not None:
            spans.append((begin, until, limit))
    return spans


def highest_limit(limits, begin, end):
    """The highest limit in force at some moment between the times; None if there was a moment without one."""
    in_force = None
    known = False
    for at, limit in limits:
        if at <= begin:
            in_force, known = limit, True
        elif at < end:
            in_force = None if limit is None or in_force is None else max(limit, in_force)
    return in_force if known else None


def allowed(limits, begin, end):
    """Requests that the limits allow between the times; None if part of it is unlimited."""
    total = 0.0
    step = NOTICE_S / 2
    at = begin
    while at < end:
        width = min(step, end - at)
        limit = highest_limit(limits, at - NOTICE_S, at + width)
        if limit is None:
            return None
        total += limit * width
        at += width
    return total


def find_excess(endpoint, limits, arrivals):
    """Windows with more requests than allowed. `arrivals` are the sorted times of requests that count."""
    breaches = []
    if not limits:
        return breaches
    first_named = limits[0][0]
    for index, begin in enumerate(arrivals):
        if begin < first_named + CONTACT_S or (breaches and begin < breaches[-1].at + WINDOW_S):
            continue
        capacity = allowed(limits, begin, begin + WINDOW_S)
        if capacity is None:
            continue
        count = bisect.bisect_right(arrivals, begin + WINDOW_S) - index
        bound = ALLOWED_FACTOR * capacity + ALLOWED_REQUESTS
        if count > bound:
            breaches.append(Breach("too many", endpoint, begin, count, bound))
    return breaches


def find_idle(endpoint, limits, arrivals, refusals, calm, end):
    """Windows in which callers were refused all the while and less than half of the limit was used.

    `refusals` are the sorted times of refused requests. `calm(begin, end)` tells whether nothing disturbed the
    deployment between the times.
    """
    breaches = []
    for begin, until, limit in limit_spans(limits, end):
        at = begin + CONTACT_S
        while at + WINDOW_S <= until:
            window_end = at + WINDOW_S
            refused_throughout = all(
                bisect.bisect_left(refusals, second) < bisect.bisect_left(refusals, second + 1)
                for second in (at, at + 1, at + 2, at + 3))
            used = bisect.bisect_left(arrivals, window_end) - bisect.bisect_left(arrivals, at)
            bound = USED_SHARE * limit * WINDOW_S - 1
            if refused_throughout and calm(at - CONTACT_S, window_end) and used < bound:
                breaches.append(Breach("left idle", endpoint, at, used, bound))
            at += WINDOW_S
    return breaches
