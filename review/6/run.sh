#!/usr/bin/env bash
# Many short tasks that end while the store is down. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/cowslipport-node review/standins-2/target/release/review-2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec timeout 110 review/standins-2/target/release/review-2 ends review/6
