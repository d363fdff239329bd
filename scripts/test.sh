#!/usr/bin/env bash
# Checks the formatting and that the generated code is up to date, and runs go vet, staticcheck and
# all tests with the race detector.
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

# Skips the tests listed in KNOWN-RED.txt and prints the file. The name of a skipped test is the
# first word of a line.
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, passed over:"
  cat KNOWN-RED.txt
  names=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt | paste -sd'|' || true)
  [ -z "$names" ] || skip=(-skip "^($names)\$")
fi

echo "go test"
# -count=1 disables the test cache: the tests of internal/lab build and run the binaries, and the
# cache does not detect changes to the source of these.
go test -count=1 -race -shuffle=off -timeout 20m "${skip[@]}" ./...
