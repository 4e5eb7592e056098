#!/bin/sh
exec "$(dirname "$0")/../stand_ins_2/run-case.sh" "$(dirname "$0")"
