#!/bin/sh
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/peridotcourse.jar ] || [ ! -f target/review/Trial.class ]; then
    echo "run the build line of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
exec java -Xmx256m -cp 'target/review:target/lib/*' Trial ManyEnds review/5/record.txt
