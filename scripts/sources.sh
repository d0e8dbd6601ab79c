#!/usr/bin/env bash
# Lists the C++ files under the project's own style rules; generated code is
# left out.
set -euo pipefail
cd "$(dirname "$0")/.."
find core servers modules drivers platform main tools tests -name '*.cc' -o -name '*.h' | sort
