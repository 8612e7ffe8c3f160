#!/usr/bin/env bash
# Installs every package that building and testing need (Debian 12).
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev libabsl-dev liblog4cxx-dev
  libzmq3-dev cppzmq-dev libprotobuf-dev libssl-dev libxxhash-dev
  libgtest-dev libgmock-dev libbenchmark-dev libclang-rt-14-dev python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
