#!/usr/bin/env bash
# Regenerates the committed protobuf and drpc code, and the checksums of the .proto files by which
# scripts/test.sh detects that a .proto file has changed since. Requires protoc 3.21 or later, which
# the build does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-drpc" storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc \
  --go_out=. --go_opt=module=github.com/balsamlb/balsamlb \
  --go-drpc_out=. --go-drpc_opt=module=github.com/balsamlb/balsamlb \
  instance/wire/instance.proto
PATH="$bin:$PATH" protoc \
  --go_out=. --go_opt=module=github.com/balsamlb/balsamlb \
  replica/wire/replica.proto
for p in instance/wire/instance.proto replica/wire/replica.proto; do
  sha256sum "$p" > "$p.sha256"
done
