#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15: there is nothing
# to build, since they are Python programs that need the standard library only.
set -euo pipefail
command -v python3 >/dev/null
