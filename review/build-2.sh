#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs without other packages, so that nothing is
# compiled; checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - stand-2/*.py [0-9]*/case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PY
