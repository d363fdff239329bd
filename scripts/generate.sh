#!/usr/bin/env bash
# Regenerates the committed drpc code. Needs protoc 3.21 or later; the build does not.
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
sha256sum instance/wire/instance.proto > instance/wire/instance.proto.sha256
