#!/usr/bin/env bash
# Installs missing packages, builds, and runs seeds of random faults on real
# processes. The option --help lists the options.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/deps.sh
cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build/release >build/release/build.log || { tail -30 build/release/build.log; exit 1; }
PYTHONPATH=scripts PYTHONDONTWRITEBYTECODE=1 exec python3 -m demo.soak "$@"
