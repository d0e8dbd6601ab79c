#!/usr/bin/env bash
# Starts and stops a deployment on loopback:
#   scripts/local.sh up kaewmanee|association DIR   returns once it is ready
#   scripts/local.sh down DIR
#   scripts/local.sh start DIR NAME                 restarts an exited process
# DIR/addresses.json lists every process; docs/operators/install.md explains it.
set -euo pipefail
exec python3 "$(dirname "$0")/local_deployment.py" "$@"
