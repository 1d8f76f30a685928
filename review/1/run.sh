#!/bin/sh
# Runs case 1: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/dock-cell target/dock-jobs review/bin/case-1; do
	[ -x "$program" ] || { echo "$program is missing: build the deploy file and run review/build.sh" >&2; exit 2; }
done
case "${TROUBLE:-1}" in
0) disruption=without ;;
*) disruption=with ;;
esac
exec review/bin/case-1 review/1 "$disruption"
