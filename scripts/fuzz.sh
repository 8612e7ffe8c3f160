#!/usr/bin/env bash
# Looks for inputs from outside that break what must hold, each target for some
# time, one after the other, from the written corpus and a fixed seed. Prints
# for each how many inputs ran and which edges of the program they reached. A
# find is kept in build-fuzz/finds/TARGET, and ends that target.
#   scripts/fuzz.sh [SECONDS] [TARGET...]     (default: 60, all)
#   JOBS=N   parallel jobs of the build (default: one for each processor)
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=60
if [[ "${1:-}" =~ ^[0-9]+$ ]]; then
  seconds=$1
  shift
fi
targets=("$@")
[ ${#targets[@]} -gt 0 ] || mapfile -t targets < <(ls support/fuzz/corpus)

scripts/setup.sh
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B build-fuzz -G Ninja -DDECKPITCH_FUZZERS=ON \
  -DCMAKE_CXX_COMPILER=clang++ -DDECKPITCH_TESTS=OFF -DDECKPITCH_STANDINS=OFF \
  -DDECKPITCH_BENCHMARKS=OFF >/dev/null
ninja -C build-fuzz -j "${JOBS:-$(nproc)}" --quiet deckpitch-fuzz

# Freed memory is not kept long: one target bounds what an input may take.
export ASAN_OPTIONS=quarantine_size_mb=16
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
seed=1
failed=0
for target in "${targets[@]}"; do
  found=build-fuzz/finds/$target grown=build-fuzz/corpus/$target
  log=build-fuzz/$target.log
  mkdir -p "$found" "$grown"
  if build-fuzz/deckpitch-fuzz --target="$target" -seed=$seed \
    -max_total_time="$seconds" -print_final_stats=1 -artifact_prefix="$found/" \
    "$grown" "support/fuzz/corpus/$target" >"$log" 2>&1; then
    outcome="nothing found"
  else
    outcome="FOUND, see $log and $found"
    failed=1
  fi
  runs=$(sed -n 's/^stat::number_of_executed_units: //p' "$log")
  coverage=$(grep -o 'cov: [0-9]* ft: [0-9]*' "$log" | tail -1 || true)
  echo "$target: ${runs:-no count of} executions, ${coverage:-no coverage}, $outcome"
done
exit $failed
