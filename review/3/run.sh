#!/bin/sh
# Plays case 3; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "not played: python3 is missing" | tee record.txt; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
