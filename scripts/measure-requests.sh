#!/usr/bin/env bash
# Measures the request path over real processes on this machine; see
# docs/DESIGN-requests.md for what the figures mean. About half a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja > /dev/null
ninja -C build measure-requests > /dev/null
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg), processors: $(nproc)"
exec build/measure-requests
