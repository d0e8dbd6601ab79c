"""Checks of a run with planned work only: no answer is cut, and what stops is gone in time."""

from deployment import SHUTDOWN_GRACE_S

# A connection may end without an answer this long after its last request; the request crossed the end.
CROSSING_S = 0.2


def find_cut(attempts, passed_on):
    """`passed_on` holds the requests that reached an endpoint."""
    breaches = []
    for attempt in attempts:
        if attempt.complete or attempt.stalled or attempt.left or _may_be_unread(attempt, passed_on):
            continue
        after_s = attempt.ended_at - attempt.sent_at
        if attempt.error != "timeout" and attempt.request not in passed_on and after_s <= CROSSING_S:
            continue
        part = f"after {attempt.body_bytes} bytes of status {attempt.status}" if attempt.began else "without any answer"
        breaches.append(f"request {attempt.request} ({attempt.path} at {attempt.entry}): {attempt.error} {part}, "
                        f"{after_s:.3f} s after it was sent at {attempt.sent_at:.3f}")
    return breaches


def _may_be_unread(attempt, passed_on):
    """A request behind one whose answer was due may still wait in the kernel when the instance ends the connection."""
    behind = attempt.pipelined or attempt.after_close
    return behind and not attempt.began and attempt.request not in passed_on


def find_late_stops(instances, grace_s=SHUTDOWN_GRACE_S):
    breaches = []
    for instance in instances:
        for began, ended, status in instance.stops:
            if ended - began >= grace_s:
                breaches.append(f"{instance.name} stopped {ended - began:.3f} s after SIGTERM, grace {grace_s} s")
            if status != 0:
                breaches.append(f"{instance.name} ended with status {status}")
    return breaches


def find_short(attempts, bytes_by_path):
    """Answers that look complete and lack a part."""
    return [f"request {attempt.request} ({attempt.path} at {attempt.entry}): complete with {attempt.body_bytes} bytes"
            for attempt in attempts
            if attempt.complete and attempt.status == 200
            and attempt.body_bytes != bytes_by_path.get(attempt.path, attempt.body_bytes)]


def find_cut_reads(reads):
    """Calls of operators whose answer began and didn't end."""
    return [f"{read.path} at {read.instance}: {read.error} after {read.received} bytes, {read.ended_at - read.sent_at:.3f} s"
            for read in reads if read.received > 0 and not read.complete]
