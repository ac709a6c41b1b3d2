#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-stand .
