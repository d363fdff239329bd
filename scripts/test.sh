#!/usr/bin/env bash
# Runs the formatter, the linter, vet, the check of generated code and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "gofmt"
unformatted=$(gofmt -l .)
[ -z "$unformatted" ] || { echo "not formatted: $unformatted"; exit 1; }

echo "generated code"
sha256sum --check --quiet instance/wire/instance.proto.sha256 replica/wire/replica.proto.sha256

echo "go vet"
go vet ./...

echo "staticcheck"
go tool staticcheck ./...

# Tests in KNOWN-RED.txt are passed over and printed; their names are the first word of a line.
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, passed over:"
  cat KNOWN-RED.txt
  names=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt | paste -sd'|' || true)
  [ -z "$names" ] || skip=(-skip "^($names)\$")
fi

echo "go test"
# -count=1: the tests of internal/lab run binaries, whose source the test cache does not see.
go test -count=1 -race -shuffle=off -timeout 20m "${skip[@]}" ./...
