#!/usr/bin/env bash
# Runs clang-tidy on the files of a build directory (default build/check).
# Further arguments restrict it to files whose path contains one of them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${COLT_BUILD:-build/check}
pattern=$(IFS='|'; echo "${*:-.}")
git ls-files --cached --others --exclude-standard 'src/*.c' 'platform/*.c' 'standin/*.c' 'bench/*.c' 'fuzz/*.c' 'examples/*.c' |
  grep -v 'pb-c' | grep -E "$pattern" |
  xargs -r -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
