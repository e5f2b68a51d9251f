#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the return of the store out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/scenario ] && [ -x target/release/snipegate-edge ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
target/review/scenario removed review/3/record.txt
code=$?
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
