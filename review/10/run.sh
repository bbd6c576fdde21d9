#!/usr/bin/env bash
# Plays this case once: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. The record of the run is record.txt.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
program=target/review-2/release/case-$(basename "$case_folder")
for needed in target/release/dewrun "$program"; do
  [ -x "$needed" ] || { echo "$needed is missing: build with the deploy file and with review/build-2.sh" >&2; exit 2; }
done
export TROUBLE=${TROUBLE:-1}
exec "$program" "$case_folder"
