#!/usr/bin/env bash
# A small fleet loses power as a whole and serves again. The time allowed is
# longer than the deployment's, for a busy machine. ARGUMENT: the daemon's path.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 support/soak/power_loss.py --program "$1" --entries 2 --agents 3 \
  --rate 20 --case instances-first --recovery 20
