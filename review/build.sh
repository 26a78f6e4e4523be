#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts: they are Python's, of its standard
# library alone, and are only checked. The program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in stand/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
