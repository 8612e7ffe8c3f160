#!/usr/bin/env bash
# The swarm's decisions and its baselines (chains, trees of whole copies,
# everyone from the origin) in virtual time, for 8 to 910 agents and both kinds
# of link. Ratios are to M + floor(log2 N) chunk times.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja > /dev/null
ninja -C build measure-swarm > /dev/null
exec build/measure-swarm
