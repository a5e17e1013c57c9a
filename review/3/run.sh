#!/bin/sh
# Plays the case once, after the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/topazfall && test -x bin/review-case-3 || exit 2
exec bin/review-case-3 review/3/record.txt
