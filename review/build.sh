#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs the build of the deploy file
# only for the scripts themselves.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/review-harness ./review/harness
