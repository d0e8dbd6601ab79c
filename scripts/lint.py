"""Runs clang-tidy on every source file of the project: lint.py BUILD_FOLDER.

A file that passed is not checked again while nothing that decides its verdict
has changed: its preprocessed text with line numbers, its compiler command, the
checks and the version of clang-tidy.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def run(command, cwd=ROOT):
    return subprocess.run(command, cwd=cwd, capture_output=True, text=True, check=False)


def common_key():
    return run(["clang-tidy", "--version"]).stdout + (ROOT / ".clang-tidy").read_text()


def verdict_key(command, folder, common):
    """Hash of all that the verdict depends on; None if it can't be told."""
    arguments = shlex.split(command)
    if arguments[0].endswith("ccache"):
        arguments = arguments[1:]
    output = arguments.index("-o")
    del arguments[output:output + 2]
    # Comments are kept, since they can silence a check.
    done = subprocess.run([*arguments, "-E", "-C", "-o", "-"], cwd=folder, capture_output=True, check=False)
    if done.returncode != 0:
        return None
    return hashlib.sha256(common.encode() + command.encode() + done.stdout).hexdigest()


def check(path, entry, build, common):
    key = verdict_key(entry["command"], entry["directory"], common)
    passed = build / "lint-passed" / (key or "unknown")
    if key is not None and passed.exists():
        return ""
    done = run(["clang-tidy", "-p", str(build), "--quiet", path])
    if done.returncode != 0:
        return done.stdout + done.stderr
    if key is not None:
        passed.touch()
    return done.stdout


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    (build / "lint-passed").mkdir(exist_ok=True)
    entries = {entry["file"]: entry for entry in json.loads((build / "compile_commands.json").read_text())}
    listed = run(["scripts/sources.sh"]).stdout.split()
    files = [str(ROOT / path) for path in listed if path.endswith(".cc")]
    unknown = [path for path in files if path not in entries]
    common = common_key()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as workers:
        reports = list(workers.map(lambda path: check(path, entries[path], build, common),
                                   [path for path in files if path in entries]))
    faults = [report for report in reports if report.strip()]
    faults += [f"{path}: no target compiles it" for path in unknown]
    for fault in faults:
        print(fault)
    print(f"lint: {len(files)} files, {len(faults)} with findings")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
