#!/usr/bin/env bash
# Formats every C file of the project; with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.c' '*.h' | grep -v 'pb-c' |
  xargs -r clang-format "${mode[@]}"
