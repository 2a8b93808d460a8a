#!/bin/sh
# Plays the case; TROUBLE=0 without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/kit2 ] && [ -x ../../target/chutereachd ] || exit 2
exec ../../target/review-2/kit2 moved-queue . ../../target/chutereachd
