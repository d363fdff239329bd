#!/bin/bash
# Builds the stand-ins of the cases: backend servers, callers, the operator and a proxy, in one program.
set -e
cd "$(dirname "$0")/.."
go test -tags review -c -o review/bin/standin ./review/standin
