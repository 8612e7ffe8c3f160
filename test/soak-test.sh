#!/usr/bin/env bash
# A short run of the soak with a fixed seed, and one that must be found out: a
# check that cannot fail shows nothing. ARGUMENT: the daemon's path.
set -euo pipefail
cd "$(dirname "$0")/.."
soak=(python3 support/soak/soak.py --program "$1" --seed 7 --callers 4 --untimed)
"${soak[@]}" --faults 4
if "${soak[@]}" --faults 0 --sabotage mixed >/dev/null; then
  echo "the sabotaged run was not found out"
  exit 1
fi
