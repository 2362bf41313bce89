#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It is run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o bin/rig-2 ./review/rig-2
