#!/bin/sh
# Runs case 5: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/dock-cell target/dock-jobs review/bin/case-5; do
	[ -x "$program" ] || { echo "$program is missing: build the deploy file and run review/build.sh" >&2; exit 2; }
done
exec review/bin/case-5 review/5
