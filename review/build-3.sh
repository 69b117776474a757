#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
go build -C review/stand-3 -o "$PWD/target/review-3/stand3" .
