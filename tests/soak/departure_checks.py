"""Finds requests that were sent to endpoints whose departure had been acknowledged, and answers that are no endpoint's."""

import dataclasses

# Bounds of the users' pages.
DRAIN_S = 2.0
CONTACT_S = 3.0
# A request that was sent in time may arrive a little later.
TRANSIT_S = 0.2


@dataclasses.dataclass
class Departure:
    endpoint: str
    acknowledged_at: float


def find_late(departures, arrivals, in_touch):
    """`in_touch(request, begin, end)`: whether nothing disturbed the sender and the control instances between the times."""
    left_at = {departure.endpoint: departure.acknowledged_at for departure in departures}
    breaches = []
    for arrival in arrivals:
        since = arrival.at - left_at.get(arrival.endpoint, arrival.at)
        if since <= DRAIN_S + TRANSIT_S:
            continue
        if in_touch(arrival.request, arrival.at - CONTACT_S, arrival.at):
            breaches.append(f"{arrival.request} reached {arrival.endpoint} {since:.1f} s after its departure was acknowledged")
    return breaches


def find_false(attempts, body):
    return [f"{attempt.request} at {attempt.entry} was answered 200 with {attempt.body[:40]!r}"
            for attempt in attempts if attempt.status == 200 and attempt.body != body]
