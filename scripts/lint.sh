#!/usr/bin/env bash
# Checks layout (clang-format) and code (clang-tidy) of all but generated
# files; with --changed BASE, clang-tidy sees only files changed since BASE.
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
# The macro lets clang 14 accept the coroutines of this standard library.
[ -z "$files" ] || xargs -P "$jobs" -n 1 \
  clang-tidy -p build-lint --quiet --extra-arg=-D__cpp_impl_coroutine=201902L \
  --extra-arg=-Wno-gnu-statement-expression <<<"$files" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
echo "clang-tidy: clean"
