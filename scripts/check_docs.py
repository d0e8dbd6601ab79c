"""Checks the documents against the code.

- Runs every shell block that follows a line `<!-- run -->`, as written.
- Every metric and log event in the code is in docs/operators/metrics.md, and
  vice versa.
- The target of every relative link exists.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
METRICS_PAGE = ROOT / "docs/operators/metrics.md"
BLOCK = re.compile(r"<!-- run -->\n```sh\n(.*?)```", re.DOTALL)
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
TIMEOUT_S = 180


def documents():
    return sorted([ROOT / "README.md", ROOT / "CONTRIBUTING.md", *ROOT.glob("docs/**/*.md")])


def sources():
    for folder in ("core", "servers", "modules", "drivers", "platform", "main"):
        for pattern in ("*.cc", "*.h"):
            yield from (ROOT / folder).rglob(pattern)


def run_blocks():
    errors = []
    count = 0
    for page in documents():
        for block in BLOCK.findall(page.read_text()):
            count += 1
            result = subprocess.run(["bash", "-euo", "pipefail", "-c", block], cwd=ROOT, capture_output=True, text=True,
                                  timeout=TIMEOUT_S)
            if result.returncode != 0:
                errors.append(f"{page.relative_to(ROOT)}: a shell block exited with status {result.returncode}\n"
                              f"{block}\n{result.stderr}")
    if count == 0:
        errors.append("no document contains a shell block to run")
    return errors


def compare(kind, in_code, in_page):
    errors = [f"{METRICS_PAGE.name} does not list the {kind} {name}" for name in sorted(in_code - in_page)]
    return errors + [f"{METRICS_PAGE.name} lists the {kind} {name}, which the code does not define"
                     for name in sorted(in_page - in_code)]


def check_metrics():
    code = "\n".join(path.read_text() for path in sources())
    metrics = set(re.findall(r'(?:counter|gauge|distribution)\(\s*(?:fmt::format\(\s*)?"([a-z_]+)', code))
    events = set(re.findall(r'Log\(\s*(?:cassiausher::)?LogLevel::\w+,\s*"([a-z_]+)"', code))
    events |= set(re.findall(r'LogLastLine\("([a-z_]+)"', code))
    events |= set(re.findall(r'[?:]\s*"((?:configuration_lease|data_centre)_[a-z]+)"', code))
    metric_table, event_table = METRICS_PAGE.read_text().split("| event |")
    first_columns = lambda table: "\n".join(line.split("|")[1] for line in table.splitlines() if line.startswith("| "))
    name = re.compile(r"`([a-z_]+)`")
    return (compare("metric", metrics, set(name.findall(first_columns(metric_table)))) +
            compare("log event", events, set(name.findall(first_columns(event_table)))))


def check_links():
    errors = []
    for page in documents():
        for link in LINK.findall(page.read_text()):
            if not (page.parent / link).exists():
                errors.append(f"{page.relative_to(ROOT)}: {link} does not exist")
    return errors


def main():
    errors = check_metrics() + check_links() + run_blocks()
    for error in errors:
        print(error)
    print(f"documents: {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
