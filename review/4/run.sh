#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/scenario ] && [ -x target/release/snipegate-edge ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
target/review/scenario kill review/4/record.txt
code=$?
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
