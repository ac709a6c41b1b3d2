#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/stand-2 .
