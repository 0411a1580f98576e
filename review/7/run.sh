#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/dunespindle.jar ] && [ -f target/review-2/Case.class ] || { echo "could not run: not built"; exit 2; }
exec java -Xmx256m -cp "target/review-2:target/lib/*" Case leader-ends-out review/7/record.txt
