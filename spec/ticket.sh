#!/bin/sh
# Checks spec/ticket.pml. The protocol must have no error, and each variant that
# leaves out one of its rules must have one; otherwise the model proves nothing.
set -eu
model=$(cd "$(dirname "$0")" && pwd)/ticket.pml
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
cd "$directory"

# check WANTED-ERRORS [DEFINE] fails unless the checker finds that many errors in
# the protocol or in the variant of the define.
check() {
	spin -a ${2:+-D$2} "$model" >spin.out 2>&1 || { cat spin.out; exit 1; }
	gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
	# The exit status of pan does not tell whether it found an error.
	./pan -m100000 >pan.out 2>&1 || true
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out)
	states=$(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' pan.out)
	echo "ticket.pml ${2:-protocol}: errors: ${errors:-none printed}, states: ${states:-?}"
	if [ "$errors" != "$1" ] || grep -q 'max search depth too small\|out of memory' pan.out; then
		cat pan.out
		echo "ticket.pml ${2:-protocol}: expected errors: $1"
		exit 1
	fi
}

check 0
for variant in NO_MARK SPLIT NO_INCARNATION RERUN_UNKNOWN NO_TRY LATE_CLOSE EARLY_REFUSAL NO_BAR; do
	check 1 "$variant"
done
