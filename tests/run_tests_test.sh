#!/bin/bash
# Tests run_tests.sh with a stub build tree: which lists of known failures and which test results it accepts.
set -uo pipefail
runner=$(dirname "$0")/run_tests.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/CTestTestfile.cmake" <<'CMAKE'
add_test(good /bin/true)
add_test(Red.One /bin/false)
add_test(Red.OneMore /bin/true)
CMAKE
failures=0
# expect pass|fail NAME LIST_TEXT: checks that the runner passes or fails with that list.
expect() {
  printf '%b' "$3" >"$work/list"
  "$runner" "$work" 2 "$work/list" >"$work/out" 2>&1
  local verdict=$([[ $? == 0 ]] && echo pass || echo fail)
  [[ $verdict == "$1" ]] && return
  echo "$2: $verdict, not $1"
  cat "$work/out"
  failures=$((failures + 1))
}
line='Red.One | red --seed 7 | answers late | #34\n'
other='Red.OneMore | red --seed 8 | answers late | #34\n'
expect fail "a failure that is not listed" ''
expect pass "a listed failure" "$line"
grep -q 'Red.One | red --seed 7 | answers late | #34' "$work/out" || { echo "the list is not printed"; failures=1; }
grep -q '1 tests failed' "$work/out" || { echo "the listed test was not run"; failures=1; }
expect pass "a last line without its end" "${line%\\n}"
expect fail "an entry without a test" ' | red --seed 7 | answers late | #34\n'
expect fail "an entry without a command" 'Red.One | | answers late | #34\n'
expect fail "an entry without what was seen" 'Red.One | red --seed 7 | | #34\n'
expect fail "an entry without an issue" 'Red.One | red --seed 7 | answers late\n'
expect fail "an entry with an empty issue" 'Red.One | red --seed 7 | answers late | \n'
expect fail "an issue without a number" 'Red.One | red --seed 7 | answers late | some day\n'
expect fail "an entry of the old form" 'Red.One | answers late | #34\n'
expect fail "an entry with a part too many" 'Red.One | red --seed 7 | answers late | #34 | more\n'
expect fail "an entry without a part that is the last and has no end of line" "${line}Red.OneMore | answers late | #34"
expect fail "a name that no test has" "${line}Red.On | red --seed 7 | answers late | #34\n"
expect fail "a test that is listed twice" "$line$line"
expect pass "two entries" "$line$other"
sed -i 's|(Red.OneMore /bin/true)|(Red.OneMore /bin/false)|' "$work/CTestTestfile.cmake"
expect fail "another failure beside a listed one" "$line"
exit $((failures > 0))
