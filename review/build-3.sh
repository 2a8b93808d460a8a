#!/bin/sh
# Builds the stand-ins and the clients of the scripts of cases 9 and up, after the build of deploy/system.toml.
# They use the standard library only.
set -eu
cd "$(dirname "$0")/kit-3"
GOTOOLCHAIN=local GOWORK=off go test -c -o ../../target/review-3/kit3 .
cd ../kit-4
GOTOOLCHAIN=local GOWORK=off go test -c -o ../../target/review-3/kit4 .
