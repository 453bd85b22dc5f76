#!/usr/bin/env bash
# Builds the driver of the cases 11 to 14, which is also their store, replicas and consumers.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/driver ./review/driver3
