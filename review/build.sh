#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python of the standard library
# (package python3, as scripts/setup.sh installs it), so this only checks that
# they compile. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
