#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
# Does nothing if all are installed.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3 python3-aiohttp curl
  libboost1.81-dev libsoup-3.0-dev libcurl4-openssl-dev glib-networking libzmq3-dev cppzmq-dev libprotobuf-dev
  libdocopt-dev libfmt-dev libcpputest-dev nlohmann-json3-dev librapidcheck-dev
  libxxhash-dev libzstd-dev tao-pegtl-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
