#!/usr/bin/env bash
# Regenerates the committed code of the peer protocol. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
GOBIN="$PWD/.tools" go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN="$PWD/.tools" go install storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0
PATH="$PWD/.tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative internal/peer/wire/peer.proto internal/peer/wire/placer.proto
