#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=readonly GOTOOLCHAIN=local go build -o ../../target/review-standin .
