#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/stand .
