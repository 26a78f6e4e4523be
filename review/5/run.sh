#!/usr/bin/env bash
# Exit status: 1 the rule is broken, 0 it holds, 2 the case can't run. TROUBLE=0:
# without the disruption.
exec python3 "$(dirname "$0")/case.py"
