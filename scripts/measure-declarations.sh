#!/usr/bin/env bash
# Measures declarations on real processes: seconds until a change is in force on
# the last process, platform calls, control bytes, processor time and memory.
#   scripts/measure-declarations.sh [SIZES...]      sizes in processes: 8 32 64
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- 8 32 64
exec python3 scripts/measure_declarations.py "${BUILD:-build}" "$@"
