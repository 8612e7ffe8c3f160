#!/usr/bin/env bash
# Runs one of the measurements:  scripts/measure.sh declarations [ARGUMENTS...]
set -euo pipefail
what="${1:?which measurement: see scripts/measure-*.sh}"
shift
exec "$(dirname "$0")/measure-$what.sh" "$@"
