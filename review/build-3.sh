#!/usr/bin/env bash
# Builds the stand-ins of the third review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin3 ./review/_standin3
