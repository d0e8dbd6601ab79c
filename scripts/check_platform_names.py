"""Checks that the platform's wire names stay in the adapter.

Every literal of platform/ that is no ordinary word (a header, a field with a
hyphen, a path of the API) may not stand in the other parts of the product.
deploy/ and tests/ are free to use them.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
OTHER_PARTS = ("core", "servers", "modules", "drivers", "main", "tools")
WIRE_NAME = re.compile(r'"(/api/[a-z/-]+|[A-Za-z]+(?:-[A-Za-z]+)+)"')
# Headers of HTTP, of event streams and of the product's own interface, and a
# property of libsoup's sessions.
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
        print("platform/ has no wire names; is the pattern right?")
        return 1
    faults = list(misplaced(names))
    for fault in faults:
        print(fault)
    print(f"platform names: {len(names)} names, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
