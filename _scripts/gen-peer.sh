#!/usr/bin/env bash
# Regenerates the committed code of the peer protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
GOBIN="$PWD/.tools" go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN="$PWD/.tools" go install storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0
GOBIN="$PWD/.tools" go install github.com/bufbuild/buf/cmd/buf@v1.75.0
PATH="$PWD/.tools:$PATH" buf generate --template '{"version":"v2","plugins":[
  {"local":"protoc-gen-go","out":".","opt":"paths=source_relative"},
  {"local":"protoc-gen-go-drpc","out":".","opt":"paths=source_relative"}]}' --path internal/peer/wire
