#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's own program: one program
# with all stand-ins (driver/). Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-driver ./review/driver
