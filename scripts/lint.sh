#!/usr/bin/env bash
# Checks layout (clang-format) and code (clang-tidy) of all but generated
# files; with --changed BASE, clang-tidy sees only files changed since BASE. What has
# passed before and has not changed is not checked again (scripts/tidy.py).
#   JOBS=N   parallel jobs (default: one for each processor)
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}

sources() { # patterns
  git ls-files --cached --others --exclude-standard -- "$@" | grep -v '^src/proto/'
}

sources '*.h' '*.cc' | xargs clang-format --dry-run --Werror
echo "clang-format: clean"

# Without precompiled headers, which are the compiler's own format.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
if [ "${1:-}" = --changed ]; then
  files=$(sources '*.cc' | grep -Fx -f <(git diff --name-only "$2") || true)
else
  files=$(sources '*.cc')
fi
[ -z "$files" ] || xargs scripts/tidy.py build-lint "$jobs" <<<"$files"
echo "clang-tidy: clean"
