#!/bin/sh
# Builds the stand-ins of the third review's scripts. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/rig-3
