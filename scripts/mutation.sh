#!/usr/bin/env bash
# Switches off each guard of the safety arguments, one at a time, and fails if
# no test or fuzz target notices. Builds once, with the guards' switches.
# Arguments restrict it to the guards named. COLT_JOBS: tests at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${COLT_BUILD:-build/check}
jobs=${COLT_JOBS:-2}

# The tests that cover a guard, as a regular expression for ctest.
covers() {
  case $1 in
    server_epoch | renewal_token) echo 'lease|fuzz_lease|shard' ;;
    shard_promise | session) echo 'shard|fuzz_shard' ;;
    drift_margin) echo 'lease|fuzz_lease|fuzz_shard' ;;
    least_over_offsets | compliance | credit_epoch) echo 'quota.*|fuzz_quota.*' ;;
    freshness | bundle_parent) echo 'bundle.*|fuzz_bundle.*|freshness|fuzz_freshness' ;;
    *) echo "no test is known to cover $1" >&2; return 1 ;;
  esac
}

guards=("$@")
if [ "${#guards[@]}" -eq 0 ]; then
  mapfile -t guards < <(sed -n '/colt_guard_string/,/;/p' src/base/guard.c | grep -o '"[a-z_]*"' | tr -d '"')
fi
[ "${#guards[@]}" -gt 0 ]

CC=clang cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_C_FLAGS_DEBUG="-O1 -g" -DCOLT_WERROR=ON -DCOLT_SANITIZE=ON \
  -DCOLT_FUZZ=ON -DCOLT_GUARD_SWITCHES=ON >/dev/null
cmake --build "$build" >/dev/null

unnoticed=()
for guard in "${guards[@]}"; do
  tests="^($(covers "$guard"))\$"
  listed=$(ctest --test-dir "$build" -N -R "$tests")
  if ! grep -q 'Test *#' <<<"$listed"; then
    echo "$guard: there is no test $tests"
    unnoticed+=("$guard")
    continue
  fi
  log=$(COLT_GUARD_OFF=$guard ctest --test-dir "$build" -R "$tests" -j "$jobs" 2>&1 || true)
  noticed=$(sed -n 's/.*Test *#[0-9]*: \([a-z_]*\) .*\(Failed\|Exception\|Abort\).*/\1/p' <<<"$log" | sort -u | tr '\n' ' ')
  if [ -z "$noticed" ]; then
    echo "$guard: NOT NOTICED by $tests"
    unnoticed+=("$guard")
  else
    echo "$guard: noticed by $noticed"
  fi
done
[ "${#unnoticed[@]}" -eq 0 ] || { echo "not noticed: ${unnoticed[*]}"; exit 1; }
