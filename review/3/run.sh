#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/review-standin ] && [ -x ../../bin/functionrouter ] || { echo "build first"; exit 2; }
exec ../../bin/review-standin over-limit
