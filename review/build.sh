#!/bin/bash
# Builds what the scripts start besides the proxy. The stand-ins are Python of the standard library alone, so
# there is nothing to compile: this checks that they can be read and that the proxy is built.
set -eu
cd "$(dirname "$0")"
. ./python.sh
"$python" - stand_ins/edge_stand_ins.py 1/case.py 2/case.py 3/case.py <<'CHECK'
import os
import sys
import tomllib  # noqa: F401: needs Python 3.11
for name in sys.argv[1:]:
    if os.path.exists(name):
        compile(open(name).read(), name, "exec")
CHECK
test -x ../build/src/mintrock-edge || { echo "build/src/mintrock-edge is missing" >&2; exit 2; }
