#!/usr/bin/env bash
# Builds the stand-ins of the second independent review. Run it in the repository's root, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/kit2 ./review/kit2
