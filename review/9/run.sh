#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
export TAMARACKRUN="$here/../../target/tamarackrun"
exec "$here/../../bin/rig-2" spoiled "$here/record.txt"
