"""Whether streams stayed at the software version that began them, whole, and whether enough of them could go on."""

# Fewer streams that were taken up say nothing of a share.
MIN_TAKEN_UP = 12
# Share of the taken up streams that go on, as a part of the share of new streams that begin.
MIN_SHARE = 0.5


def find_mixed(streams):
    """Streams with events of two versions."""
    breaches = []
    for stream in streams:
        events = stream.events()
        for before, event in zip(events, events[1:]):
            if before.version != event.version:
                path = [f"{attempt.request} at {attempt.entry}" for attempt in stream.attempts]
                breaches.append(f"two versions: {', '.join(path)}: {before.version} of {before.endpoint}, then "
                                f"{event.version} of {event.endpoint} from event {event.number}")
                break
    return breaches


def find_gaps(streams):
    """Streams in which an event is missing or comes twice."""
    breaches = []
    for stream in streams:
        numbers = [event.number for event in stream.events()]
        if numbers != list(range(1, len(numbers) + 1)):
            breaches.append(f"events missing or doubled: {stream.attempts[0].request}: {numbers}")
    return breaches


def went_on(attempt):
    return bool(attempt.events)


def share(attempts):
    return sum(1 for attempt in attempts if went_on(attempt)) / len(attempts)


def find_lost(streams, counts):
    """Too few of the streams that callers took up went on. `counts(attempt)` tells which tries are judged."""
    attempts = [attempt for stream in streams for attempt in stream.attempts if counts(attempt)]
    new = [attempt for attempt in attempts if attempt.resumes is None]
    taken_up = [attempt for attempt in attempts if attempt.resumes is not None]
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return []
    if share(taken_up) >= MIN_SHARE * share(new):
        return []
    return [f"lost: of {len(taken_up)} streams taken up {share(taken_up):.0%} went on, "
            f"of {len(new)} new ones {share(new):.0%} began"]
