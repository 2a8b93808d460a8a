#!/bin/sh
# Runs the case "reports" of review/kit-4. Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
CASE=reports DIR=$(pwd) ROOT=$(cd ../.. && pwd)
export CASE DIR ROOT
[ -x "$ROOT/target/review/kit-4.test" ] || exit 2
exec "$ROOT/target/review/kit-4.test"
