#!/bin/sh
# Runs one case: run-case.sh FOLDER. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program="$root/build/review-2/$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/build/src/mintrock-edge" ]; then
  echo "could not run: first the build of the deploy file, then review/build-2.sh"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
# The proxies that the program starts end with it.
timeout -k 2 110 "$program" "$root" "$folder" "$temporary" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' HUP INT TERM
wait "$child"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
