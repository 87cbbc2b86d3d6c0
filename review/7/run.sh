#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/bin/boragedoor-platform
driver=target/review-2/case-7
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
  echo "build the program of the deploy file, then run review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$driver" "$program" review/7/record.txt "$folder" &
child=$!
# A script that is told to stop ends its driver, and with it the instances.
trap 'kill -TERM "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
