#!/bin/sh
# Builds the stand-ins and checks of the cases; needs nothing but the standard library.
cd "$(dirname "$0")/stand" && exec env GOFLAGS= GOWORK=off go build -o ../../target/review-cases .
