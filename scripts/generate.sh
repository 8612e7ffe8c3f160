#!/usr/bin/env bash
# Regenerates the committed protobuf code; needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. proto/*.proto
