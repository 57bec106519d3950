#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# nothing is disrupted.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/release/camphorhold-instance && -x target/review/standin ]] || exit 2
RECORD=review/4/record.txt target/review/standin stale
code=$?
((code <= 1)) && exit $code
exit 2
