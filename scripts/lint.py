"""Runs clang-tidy on every source file of the project: lint.py BUILD_FOLDER.

A file that passed is not checked again until an input of the check changes: its
preprocessed text with line numbers, its compiler command, the enabled checks or
the version of clang-tidy.
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


def common_inputs():
    return run(["clang-tidy", "--version"]).stdout + (ROOT / ".clang-tidy").read_text()


def cache_key(command, folder, common):
    """Returns a hash of all inputs of the check, or None if preprocessing failed."""
    arguments = shlex.split(command)
    if arguments[0].endswith("ccache"):
        arguments = arguments[1:]
    output = arguments.index("-o")
    del arguments[output:output + 2]
    # Keeps comments (-C), since NOLINT comments suppress checks.
    result = subprocess.run([*arguments, "-E", "-C", "-o", "-"], cwd=folder, capture_output=True, check=False)
    if result.returncode != 0:
        return None
    return hashlib.sha256(common.encode() + command.encode() + result.stdout).hexdigest()


def check(path, entry, build, common):
    key = cache_key(entry["command"], entry["directory"], common)
    marker = build / "lint-passed" / (key or "unknown")
    if key is not None and marker.exists():
        return ""
    result = run(["clang-tidy", "-p", str(build), "--quiet", path])
    if result.returncode != 0:
        return result.stdout + result.stderr
    if key is not None:
        marker.touch()
    return result.stdout


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    (build / "lint-passed").mkdir(exist_ok=True)
    entries = {entry["file"]: entry for entry in json.loads((build / "compile_commands.json").read_text())}
    listed = run(["scripts/sources.sh"]).stdout.split()
    files = [str(ROOT / path) for path in listed if path.endswith(".cc")]
    unknown = [path for path in files if path not in entries]
    common = common_inputs()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as workers:
        reports = list(workers.map(lambda path: check(path, entries[path], build, common),
                                   [path for path in files if path in entries]))
    findings = [report for report in reports if report.strip()]
    findings += [f"{path}: no target compiles it" for path in unknown]
    for finding in findings:
        print(finding)
    print(f"lint: {len(files)} files, {len(findings)} with findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
