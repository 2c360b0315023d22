#!/bin/bash
# Generates the Go code of the .proto files; needs protoc (Debian: protobuf-compiler). The result is committed.
set -eu
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
GOBIN=$tools go install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH=$tools:$PATH protoc --go_out=. --go_opt=module=docksail --go-grpc_out=. --go-grpc_opt=module=docksail \
	api/docksail/v1/*.proto
