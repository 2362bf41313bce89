#!/bin/sh
# Checks spec/share.pml: the design must have no error, and each broken variant
# must have one.
set -eu
model=$(cd "$(dirname "$0")" && pwd)/share.pml
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
cd "$directory"

# errors VARIANT prints the number of errors that the checker finds in the variant;
# an empty VARIANT is the design itself.
errors() {
	spin ${1:+-D"$1"} -a "$model" >spin.log
	cc -O2 -DSAFETY -o pan pan.c
	./pan -m100000 >pan.log
	if grep -q 'max search depth too small' pan.log; then
		echo "share.pml: the search was cut off" >&2
		exit 1
	fi
	sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

# check VARIANT none|some fails unless the checker finds no error, or at least one.
check() {
	found=$(errors "$1")
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
	echo "share.pml ${1:-design}: errors: $found, states: $states"
	case "$2:$found" in
	none:0 | some:[1-9]*) ;;
	*) echo "share.pml ${1:-design}: expected $2" >&2; exit 1 ;;
	esac
}

check "" none
check NO_SECOND_CHECK some
check NO_WAIT some
