#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the troubles.
set -u
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.."
[ -f target/dunespindle.jar ] && [ -d target/review ] || exit 2
timeout -k 5 119 java -Xmx512m -cp target/dunespindle.jar:target/review HungCancel "$case_folder" >/dev/null
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
