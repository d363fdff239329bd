#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -tags review -c -o review/bin/standin2 ./review/standin2
