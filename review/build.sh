#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: one program with the store, the workers and the clients of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
