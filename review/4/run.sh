#!/usr/bin/env bash
# An unreadable entry in the list of replicas: see claim.txt.
set -u
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
