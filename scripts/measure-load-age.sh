#!/usr/bin/env bash
# What it costs that entries know the load of instances late: 149 entries, 204
# instances, in virtual time; questions to agents and refusals for each request,
# by how the load comes to the entries.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja > /dev/null
ninja -C build measure-load-age > /dev/null
exec build/measure-load-age
