#!/usr/bin/env bash
# Tests scripts/tidy.py: a pass is remembered until what it depends on changes,
# and a finding never is.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
export DECKPITCH_TIDY_CACHE=$folder/cache
cat >"$folder/compile_commands.json" <<END
[{"directory": "$folder", "file": "one.cc", "command": "c++ -o one.o -c $folder/one.cc"}]
END
cp .clang-tidy "$folder"
failed=0

expect() { # name, wanted exit code, wanted number of remembered passes
  local code=0
  scripts/tidy.py "$folder" 1 "$folder/one.cc" >"$folder/output" 2>&1 || code=$?
  local passes
  passes=$(find "$DECKPITCH_TIDY_CACHE" -type f | wc -l)
  if [ "$code" != "$2" ] || [ "$passes" != "$3" ]; then
    echo "$1: exit code $code, $passes passes remembered; expected $2, $3"
    cat "$folder/output"
    failed=1
  fi
}

echo 'int wrongName(int Value);' >"$folder/one.h"
printf '#include "one.h"\nint wrongName(int Value) { return Value; }\n' >"$folder/one.cc"
expect "a clean file" 0 1
expect "the same again" 0 1
echo 'int wrongName(int Value); // another comment' >"$folder/one.h"
expect "a header that changed" 0 2
printf '#include "one.h"\nint wrongName(int value) { return value; }\n' >"$folder/one.cc"
expect "a finding" 1 2
expect "the same finding again" 1 2
exit "$failed"
