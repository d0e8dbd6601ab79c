#!/usr/bin/env bash
# Lists the C++ files to which the project's style rules apply; generated code is
# excluded.
set -euo pipefail
cd "$(dirname "$0")/.."
find core servers modules drivers platform main tools tests -name '*.cc' -o -name '*.h' | sort
