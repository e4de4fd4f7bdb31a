#!/bin/sh
# Builds the stand-ins of the second review's cases (review/6 to review/10) to bin/standin2. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/standin2
CGO_ENABLED=0 GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../bin/standin2 .
