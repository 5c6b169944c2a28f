#!/bin/sh
# A cancelled submission is accepted late and runs. Exit code 1: the rule is broken.
# With TROUBLE=0 it does the same without the disruption, and must exit with 0.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/peridotcourse.jar ] || [ ! -f target/review-2/LateAccept.class ]; then
    echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx256m -cp "target/lib/*:target/review-2" LateAccept review/9/record.txt
