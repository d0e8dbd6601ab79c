#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec python3 run.py
