#!/usr/bin/env bash
# Names of the platform's protocol belong in platform/ only: elsewhere the code
# speaks of what they mean. Prints each line that holds one; fails if there are
# any, or if the patterns no longer find what platform/ certainly holds.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Response-Seal|Token-Counts|Prompt-Prefix|Target-Instance'
names+='|Not-Executed|Expected-Version|Length-Hint|[^-]Deadline-Ms|Weight-Versions'
names+='|Server-Leaving|Server-Limit|At-Server|stage-put|stage-get|coldLeftMs|pathPrefix|sloMs|ttlS'
names+='|DECKPITCH_NODE_FILE|allowStale|allowedRegions|coldPerS|Cold-Ms|Request-Priority'
git grep -qE "$names" -- platform ||
  { echo "check-names: the patterns find nothing in platform/"; exit 1; }
if git grep -nE "$names" -- '*.h' '*.cc' '*.proto' ':!platform'; then
  echo "check-names: the platform's names stand outside platform/"
  exit 1
fi
echo "check-names: clean"
