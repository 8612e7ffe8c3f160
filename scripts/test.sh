#!/usr/bin/env bash
# Builds everything and runs every test, then the unit tests again under the
# address, undefined-behaviour and thread sanitizers. Works on a fresh machine
# from a clean clone.
#   JOBS=N   parallel jobs (default: one for each processor)
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
scripts/setup.sh
# A compiler cache that is warm from another clone serves this one too.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
export CCACHE_SLOPPINESS=pch_defines,time_macros
known_red=$(scripts/known-red.sh)

build() { # folder, further options of cmake
  local folder=$1
  shift
  cmake -S . -B "$folder" -G Ninja -DDECKPITCH_WARNINGS_ARE_ERRORS=ON "$@" >"$folder.log" 2>&1 || {
    cat "$folder.log"
    return 1
  }
  rm "$folder.log"
  ninja -C "$folder" -j "$jobs" --quiet
}

run_tests() { # folder, pattern of tests left out besides the known red ones
  local out="${2:-}"
  [ -z "$known_red" ] || out="${out:+$out|}$known_red"
  ctest --test-dir "$1" -j "$jobs" --output-on-failure ${out:+-E "$out"}
}

echo "== all tests"
build build
run_tests build

unit=(-DDECKPITCH_PROCESS_TESTS=OFF -DDECKPITCH_STANDINS=OFF
  -DDECKPITCH_BENCHMARKS=OFF -DCMAKE_BUILD_TYPE=Debug)

echo "== address and undefined-behaviour sanitizers"
build build-asan "${unit[@]}" -DDECKPITCH_SANITIZE=address,undefined
UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 run_tests build-asan

echo "== thread sanitizer"
build build-tsan "${unit[@]}" -DDECKPITCH_SANITIZE=thread
# The large simulation has one thread, so this sanitizer could see nothing in
# it, and takes minutes under it.
TSAN_OPTIONS="halt_on_error=1 suppressions=$PWD/support/sanitizers/thread.supp" \
  run_tests build-tsan '^SwarmSimulation\.OneCopyIsRead'
