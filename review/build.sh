#!/bin/sh
# Builds the stand-ins of the cases into bin/, beside the router.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -C review/standin -o ../../bin/review-standin .
