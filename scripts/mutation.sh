#!/usr/bin/env bash
# Disables each guard of the safety arguments in turn and fails if no test or
# fuzz target detects it, or if one of those listed for it doesn't exist. Builds
# once, with switches for the guards. Arguments restrict the run to the named
# guards. COLT_JOBS limits concurrent tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${COLT_BUILD:-build/check}
jobs=${COLT_JOBS:-2}

# Prints the regular expression for ctest of the tests that cover a guard.
print_tests() {
  case $1 in
    server_epoch | renewal_token) echo 'lease|fuzz_lease|shard' ;;
    shard_promise | session) echo 'shard|fuzz_shard' ;;
    drift_margin) echo 'lease|fuzz_lease|fuzz_shard' ;;
    least_over_offsets | compliance | credit_epoch) echo 'quota.*|fuzz_quota.*' ;;
    restart_report) echo 'cell' ;;
    connection) echo 'restarts' ;;
    evacuation) echo 'cell|cell_load' ;;
    operator_age) echo 'scheduler' ;;
    crash_limit) echo 'cell_crashes' ;;
    evidence) echo 'cell_load' ;;
    claim_time | inherited_leases | lost_orders | address | silent_server | incarnation | followers | listed) echo 'scheduler' ;;
    freshness | bundle_parent) echo 'bundle.*|fuzz_bundle.*' ;;
    *) echo "$1: no tests are listed in mutation.sh" >&2; return 1 ;;
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

undetected=()
for guard in "${guards[@]}"; do
  names=$(print_tests "$guard")
  tests="^($names)\$"
  unmatched=()
  IFS='|' read -ra listed_names <<<"$names"
  for name in "${listed_names[@]}"; do
    listed=$(ctest --test-dir "$build" -N -R "^($name)\$")
    grep -q 'Test *#' <<<"$listed" || unmatched+=("$name")
  done
  if [ "${#unmatched[@]}" -gt 0 ]; then
    echo "$guard: no test matches ${unmatched[*]}"
    undetected+=("$guard")
    continue
  fi
  log=$(COLT_GUARD_OFF=$guard ctest --test-dir "$build" -R "$tests" -j "$jobs" 2>&1 || true)
  detected_by=$(sed -n 's/.*Test *#[0-9]*: \([a-z_]*\) .*\(Failed\|Exception\|Abort\).*/\1/p' <<<"$log" | sort -u | tr '\n' ' ')
  if [ -z "$detected_by" ]; then
    echo "$guard: NOT DETECTED by $tests"
    undetected+=("$guard")
  else
    echo "$guard: detected by $detected_by"
  fi
done
[ "${#undetected[@]}" -eq 0 ] || { echo "not detected: ${undetected[*]}"; exit 1; }
