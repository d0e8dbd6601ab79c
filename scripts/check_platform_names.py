"""Checks that the platform's wire names stay in the adapter.

A string literal of platform/ that is a header name, a field name with a hyphen
or an API path must not occur in the other parts of the product. deploy/ and
tests/ may use them.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
OTHER_PARTS = ("core", "servers", "modules", "drivers", "main", "tools")
WIRE_NAME = re.compile(r'"(/api/[a-z/-]+|[A-Za-z]+(?:-[A-Za-z]+)+)"')
# Headers of HTTP, of event streams and of the product's own API, and a property
# of libsoup sessions (max-conns).
COMMON_NAMES = {
    "content-length", "content-type", "keep-alive", "last-event-id", "max-conns", "proxy-authenticate",
    "proxy-authorization", "proxy-connection", "retry-after", "transfer-encoding", "x-request-id"
}


def sources(folder):
    return sorted(path for pattern in ("*.cc", "*.h") for path in (ROOT / folder).rglob(pattern))


def wire_names():
    found = set()
    for path in sources("platform"):
        found |= {name.lower() for name in WIRE_NAME.findall(path.read_text())}
    return found - COMMON_NAMES


def misplaced(names):
    for folder in OTHER_PARTS:
        for path in sources(folder):
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                for name in WIRE_NAME.findall(line):
                    if name.lower() in names:
                        yield f"{path.relative_to(ROOT)}:{number}: {name} belongs to platform/"


def main():
    names = wire_names()
    if not names:
        print("found no wire names in platform/; WIRE_NAME may be wrong")
        return 1
    errors = list(misplaced(names))
    for error in errors:
        print(error)
    print(f"platform names: {len(names)} names, {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
