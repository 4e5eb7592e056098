#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, into build/review-2. Run it after the build of the deploy
# file; it needs the compiler and nlohmann-json, and no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build/review-2"
for case in "$root"/review/6 "$root"/review/7 "$root"/review/8 "$root"/review/9 "$root"/review/10; do
  [ -f "$case/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra -I"$root/review/stand_ins_2" "$case/case.cpp" \
    -o "$root/build/review-2/$(basename "$case")"
done
