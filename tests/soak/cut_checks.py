"""Whether callers of entry instances without a path to endpoints are served as those of the others.

Pure functions over what callers recorded; times are seconds.
"""

# Counted from this long after the cut began.
CONTACT_S = 3.0
# Callers at cut instances are served at least this share as often as the others.
MIN_SHARE = 2 / 3
# Fewer failed first tries than this, and this share of all first tries, say nothing.
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
# While nobody can serve, a request is refused within this time.
REFUSAL_S = 0.25
SERVED = 200
REFUSED = 503


def judged(cut, tries, in_trouble):
    """The first tries that were sent late enough in the cut, to instances that nothing else troubled."""
    return [tried for tried in tries if cut.began_at + CONTACT_S <= tried.sent_at <= cut.ended_at
            and not in_trouble(tried.entry, tried.sent_at - CONTACT_S, tried.ended_at)]


def served(tries):
    return sum(1 for tried in tries if tried.served)


def find_unserved(cut, tries, in_trouble):
    """Callers of the cut instances that were served far worse than the others."""
    counted = judged(cut, tries, in_trouble)
    at_cut = [tried for tried in counted if tried.entry in cut.entries]
    others = [tried for tried in counted if tried.entry not in cut.entries]
    if not at_cut or not others:
        return []
    failed = len(at_cut) - served(at_cut)
    if failed <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(counted):
        return []
    if served(at_cut) / len(at_cut) >= MIN_SHARE * served(others) / len(others):
        return []
    return [f"served worse: cut {cut}: {served(at_cut)} of {len(at_cut)} first tries, "
            f"at the others {served(others)} of {len(others)}"]


def find_held(cut, tries, in_trouble):
    """Callers that were kept waiting while no instance could serve them."""
    if cut.extent != "all":
        return []
    counted = judged(cut, tries, in_trouble)
    held = [tried for tried in counted
            if tried.status != REFUSED or tried.ended_at - tried.sent_at > REFUSAL_S]
    if len(held) <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(counted):
        return []
    slowest = max(tried.ended_at - tried.sent_at for tried in held)
    return [f"not refused at once: cut {cut}: {len(held)} of {len(counted)} first tries, the slowest {slowest:.2f} s"]


def find_falsely_refused(tries, arrivals):
    """Requests whose refusal says that they didn't run, although they did."""
    run = {arrival.request for arrival in arrivals if arrival.kind == "run"}
    return [f"refused, but ran: {tried.request} at {tried.entry}"
            for tried in tries if tried.status == REFUSED and tried.unsafe and tried.request in run]
