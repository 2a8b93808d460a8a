#!/usr/bin/env bash
# Builds the stand-ins of the cases, for the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go test -c -o ../../target/review-standin .
