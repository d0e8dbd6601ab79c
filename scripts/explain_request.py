#!/usr/bin/env python3
"""Prints what happened to one request, from the logs of any number of instances.

    scripts/explain_request.py REQUEST_ID LOG...

A log is the standard output of cassiausher_node, with or without a prefix before
each JSON object. Entries of the request are printed in time order with the time
since the first. After them come the state changes that the instances logged for
the endpoints that the request used, from a second before it began until it
ended. A truncated or malformed line is skipped with a warning.
"""

import json
import sys

# State changes longer than this before a request are rarely related to it.
STATE_CHANGE_WINDOW_MS = 1000
OMITTED_FIELDS = {"time_ms", "level", "event", "request", "instance"}


def read_log(path):
    """Yields the objects of a log; warns of each line that isn't valid JSON."""
    with open(path, errors="replace") as log:
        for number, line in enumerate(log, 1):
            start = line.find("{")
            if start < 0:
                continue
            try:
                entry = json.loads(line[start:])
            except ValueError:
                print(f"{path}:{number}: incomplete or malformed line skipped", file=sys.stderr)
                continue
            if isinstance(entry, dict) and "event" in entry:
                yield entry


def describe(entry, start_ms):
    fields = " ".join(f"{key}={value}" for key, value in entry.items() if key not in OMITTED_FIELDS and value != "")
    return f"{entry['time_ms'] - start_ms:8d} ms  {entry['instance']:<24} {entry['event']:<20} {fields}"


def concerns(entry, request):
    """Lines of answers that were cut name many requests."""
    return entry.get("request") == request or request in entry.get("requests", "").split()


def explain(request, entries):
    request_entries = [entry for entry in entries if concerns(entry, request)]
    if not request_entries:
        return None
    start, end = request_entries[0]["time_ms"], request_entries[-1]["time_ms"]
    endpoints = {entry["endpoint"] for entry in request_entries if "endpoint" in entry}
    state_changes = [entry for entry in entries
                     if "request" not in entry and entry.get("endpoint") in endpoints
                     and start - STATE_CHANGE_WINDOW_MS <= entry["time_ms"] <= end]
    lines = [f"request {request}"] + [describe(entry, start) for entry in request_entries]
    if state_changes:
        lines += ["state changes of its endpoints"] + [describe(entry, start) for entry in state_changes]
    return "\n".join(lines)


def main():
    if len(sys.argv) < 3:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    request, paths = sys.argv[1], sys.argv[2:]
    entries = [entry for path in paths for entry in read_log(path)]
    entries.sort(key=lambda entry: entry["time_ms"])
    text = explain(request, entries)
    if text is None:
        print(f"no log entry for request {request}", file=sys.stderr)
        return 1
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
