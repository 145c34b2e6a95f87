#!/usr/bin/env bash
# Restarts the four hosts of a zone in turn while clients come. Exit status: 1 if a statement that was passed on to
# a database got no answer, 0 if none, 2 if the case could not run. TROUBLE=0: without the restarts.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/gypsumgap ] && [ -x target/review-standin2 ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE:-1} target/review-standin2 "$folder" review/6/record.txt
