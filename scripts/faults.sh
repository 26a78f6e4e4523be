#!/usr/bin/env bash
# Runs the demo with each fault, or with each pair of faults, and prints one line
# per run. Usage: scripts/faults.sh [--pairs] [--seeds "N N"] [--deployment NAME]
# [FAULT ...]. Up to COLT_FAULT_RUNS (default 2) runs are concurrent. Fails if a
# run is BROKEN.
set -euo pipefail
cd "$(dirname "$0")/.."
pairs=no
seeds="21"
deployment=hangwell
chosen=()
while [ $# -gt 0 ]; do
  case "$1" in
    --pairs) pairs=yes ;;
    --seeds) seeds=$2; shift ;;
    --deployment) deployment=$2; shift ;;
    -*) echo "unknown option $1" >&2; exit 2 ;;
    *) chosen+=("$1") ;;
  esac
  shift
done
if [ "${#chosen[@]}" -eq 0 ]; then
  chosen=(kill-entry stop-entry pause-entry cut-zone log-outage log-lost-answers
    silent-connections kill-server slow-server failing-server leaving-server
    withdraw-key roll-bundle)
fi
scripts/deps.sh
cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build/release >/dev/null
out=run/faults
mkdir -p "$out"
jobs=()
for seed in $seeds; do
  for ((i = 0; i < ${#chosen[@]}; i++)); do
    if [ "$pairs" = no ]; then
      jobs+=("$seed ${chosen[i]}")
    else
      for ((k = i + 1; k < ${#chosen[@]}; k++)); do
        jobs+=("$seed ${chosen[i]},${chosen[k]}")
      done
    fi
  done
done
run_one() {
  local slot=$1 seed=$2 fault=$3 file
  file=$out/$deployment-$seed-$fault
  if COLT_DEMO_SLOT=$slot PYTHONPATH=scripts PYTHONDONTWRITEBYTECODE=1 \
    python3 -m demo.run --deployment "$deployment" --seconds 12 --rate 200 \
    --seed "$seed" --fault "$fault" --run-dir "$out" --json "$file.json" \
    --keep >"$file.txt" 2>&1; then
    echo "kept    seed $seed $fault"
  else
    echo "BROKEN  seed $seed $fault, see $file.txt"
  fi
}
# Runs the jobs of one slot: every N-th, beginning with the number of the slot.
run_every_nth() {
  local slot=$1 n=$2 i
  for ((i = slot; i < ${#jobs[@]}; i += n)); do
    # shellcheck disable=SC2086
    run_one "$slot" ${jobs[i]}
  done
}
slots=${COLT_FAULT_RUNS:-2}
for ((s = 0; s < slots; s++)); do
  run_every_nth "$s" "$slots" &
done | tee "$out/summary-$deployment.txt"
wait
! grep -q BROKEN "$out/summary-$deployment.txt"
