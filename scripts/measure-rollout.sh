#!/usr/bin/env bash
# Measures rollouts with real agents:  scripts/measure.sh rollout [--help]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 support/measure/rollout.py "$@"
