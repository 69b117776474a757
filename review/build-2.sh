#!/bin/sh
# Builds the stand-ins of the second review: store, engines, clients and platform are one program
# without dependencies, which starts the project's own programs.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
env GOFLAGS= GOWORK=off go build -o ../../target/review-2/stand2 .
