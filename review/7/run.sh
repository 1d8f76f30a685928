#!/bin/sh
# Plays the case added of review/bed2. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-bed2 ] && [ -x target/dock-cell ] && [ -x target/dock-jobs ] || exit 2
exec target/review-bed2 -case added -record review/7/record.txt
