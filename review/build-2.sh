#!/usr/bin/env bash
# The stand-ins of cases 4 to 6 are Python programs of review/common-2 and of
# the cases themselves: nothing is compiled. This checks that they can start.
#   review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "python3 of 3.11 or later is needed" >&2; exit 1; }
for each in common-2/*.py [456]/*.py; do
  [ -e "$each" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$each"
done
