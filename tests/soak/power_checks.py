"""Whether acknowledged versions are there after a loss of power, and whether reads ever show an older one."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Acknowledgement:
    version: int
    control: str
    at: float


@dataclasses.dataclass(frozen=True)
class Read:
    version: int
    control: str
    sent_at: float
    ended_at: float
    # The marker that the submitted document of this version has.
    marker: str = ""


def marker(version):
    """Name of the route by which a document is recognised."""
    return f"r-version-{version}"


def find_older(acknowledgements, reads):
    """Reads that show an older version than one acknowledged or read before they were sent."""
    known = [(item.at, item.version, f"acknowledged by {item.control}") for item in acknowledgements]
    known += [(item.ended_at, item.version, f"read at {item.control}") for item in reads]
    breaches = []
    for read in reads:
        before = [(version, how, at) for at, version, how in known if at <= read.sent_at]
        version, how, at = max(before, default=(0, "", 0.0))
        if read.version < version:
            breaches.append(f"{read.control} showed version {read.version} at {read.sent_at:.3f}, "
                            f"after version {version} was {how} at {at:.3f}")
    return breaches


def find_altered(reads):
    """Reads whose document isn't the one submitted under its version."""
    return [f"{read.control} showed version {read.version} with the route {read.marker or 'of no version'}"
            for read in reads if read.marker != marker(read.version)]
