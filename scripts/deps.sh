#!/usr/bin/env bash
# Installs the Debian packages that a build needs and that are missing.
set -euo pipefail
packages=(gcc clang clang-format clang-tidy cmake ninja-build pkg-config
  libevent-dev libprotobuf-c-dev protobuf-c-compiler libargtable2-dev
  liblog4c-dev libinih-dev libjansson-dev libsodium-dev libxxhash-dev
  libglib2.0-dev libgsl-dev zlib1g-dev libclang-rt-14-dev python3 curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
