#!/bin/sh
# Plays the case "same-id". Build first: the build of deploy/system.toml, then
# review/build.sh. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-standin/release/review-standin
if [ ! -x "$program" ] || [ ! -x target/release/cowslipport-node ]; then
    echo "build the node and review/build.sh first"
    exit 2
fi
exec "$program" same-id "$folder/record.txt"
