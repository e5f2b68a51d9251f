#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] && [ -x target/release/snipegate-edge ] || exit 2
exec target/review-2/standin2 drill-one review/8
