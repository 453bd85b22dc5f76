#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The daemon itself is built by the command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/driver ./review/driver2
