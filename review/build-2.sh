#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off GOTOOLCHAIN=local go build -o target/review-standin2 review/standin2/*.go
# Case 7 uses the databases, the platform and the clients of the earlier review's stand-in.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp review/standin/*.go review/standin/go.mod review/standin3/*.go "$folder"
out=$PWD/target/review-standin3
cd "$folder"
GOWORK=off GOFLAGS=-mod=readonly GOTOOLCHAIN=local go build -o "$out" .
