#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The programs under test are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/_standin3
