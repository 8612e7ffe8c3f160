#!/usr/bin/env bash
# Runs one of the measurements:  scripts/measure.sh requests|rollout|...
set -euo pipefail
directory="$(cd "$(dirname "$0")" && pwd)"
verb="${1:-}"
script="$directory/measure-$verb.sh"
if [ -z "$verb" ] || [ ! -x "$script" ]; then
  echo "usage: scripts/measure.sh VERB, one of:" >&2
  for each in "$directory"/measure-*.sh; do
    name="$(basename "$each" .sh)"
    echo "  ${name#measure-}" >&2
  done
  exit 2
fi
shift
exec "$script" "$@"
