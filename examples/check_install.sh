#!/bin/sh
# Installs a build into a temporary folder and builds an example against it with
# pkg-config alone. Each library must also link as a whole with only the flags
# of its package. Runs the example and checks its output.
# Arguments: cmake, build folder, source folder, C compiler, compiler flags.
set -eu
cmake=$1
build=$2
source=$3
compiler=$4
shift 4
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
"$cmake" --install "$build" --prefix "$prefix" >/dev/null
folder=$(dirname "$(find "$prefix" -name coltsfootstile-lease.pc)")
PKG_CONFIG_PATH=$folder
export PKG_CONFIG_PATH
for file in "$folder"/*.pc; do
  name=$(basename "$file" .pc)
  printf 'int main (void) { return 0; }\n' >"$prefix/empty.c"
  # shellcheck disable=SC2046
  "$compiler" "$@" "$prefix/empty.c" -o "$prefix/empty" \
    -L"$(dirname "$folder")" -Wl,--whole-archive "-lcolt_${name#coltsfootstile-}" \
    -Wl,--no-whole-archive $(pkg-config --cflags --libs "$name")
done
# shellcheck disable=SC2046
"$compiler" "$@" -Wall -Werror "$source/examples/embed_owner.c" -o "$prefix/embed_owner" \
  $(pkg-config --cflags --libs coltsfootstile-lease)
"$prefix/embed_owner" | tee "$prefix/output"
grep -q 'work may start' "$prefix/output"
grep -q 'lost: lapsed' "$prefix/output"
