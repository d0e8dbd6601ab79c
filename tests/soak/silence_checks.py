"""Whether answers outlast the silence of endpoints, and whether endpoints get work again after it.

Pure functions over what endpoints and callers recorded; times are seconds.
"""

import collections

# An endpoint has work again this long after it went on.
WORK_AGAIN_S = 1.5
ANSWERED = 200


def find_failed(attempts):
    """Plain requests without an answer of an endpoint."""
    return [f"not answered: {attempt.request} at {attempt.entry}: status {attempt.status} after "
            f"{attempt.ended_at - attempt.sent_at:.2f} s: {attempt.body[-80:]}"
            for attempt in attempts if attempt.status != ANSWERED]


def find_broken_streams(streams):
    """Streams that didn't reach their last event in their first try."""
    breaches = []
    for stream in streams:
        first = stream.attempts[0] if stream.attempts else None
        if first is None:
            breaches.append("a stream found no entry instance")
        elif len(stream.attempts) > 1 or not stream.complete():
            breaches.append(f"stream ended early: {first.request} at {first.entry}: status {first.status}, "
                            f"{len(first.events)} events in {first.ended_at - first.sent_at:.2f} s: {first.answer[-80:]}")
    return breaches


def find_repeated(arrivals, unsafe):
    """Requests that may run at most once and reached endpoints more often."""
    calls = collections.Counter(arrival.request for arrival in arrivals if arrival.request in unsafe)
    return [f"repeated: {request} reached endpoints {count} times" for request, count in calls.items() if count > 1]


def find_idle(endpoint, silences, arrivals, sent_at, end):
    """Silences after which the endpoint got no new work. `sent_at` gives when the caller of a request sent it.

    What was sent to the endpoint during its silence reaches it afterwards and isn't new.
    """
    breaches = []
    for begin, until in silences:
        if until + WORK_AGAIN_S > end:
            continue
        new = [arrival.at for arrival in arrivals if arrival.endpoint == endpoint and
               until <= arrival.at <= until + WORK_AGAIN_S and sent_at.get(arrival.request, 0) >= until]
        if not new:
            breaches.append(f"no work: {endpoint} in the {WORK_AGAIN_S:g} s after its silence of {until - begin:.2f} s")
    return breaches
