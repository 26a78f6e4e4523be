#!/usr/bin/env bash
# Builds with optimisation and prints the figures of the placement, one per line.
# Usage: bench.sh [all|hangwell|hashim|costs] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/deps.sh
cmake -S . -B build/bench -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DBUILD_TESTING=OFF >/dev/null
cmake --build build/bench --target coltsfootstile_bench >/dev/null
build/bench/bench/coltsfootstile_bench "$@"
