#!/usr/bin/env bash
# A queue with a policy, and a minion that is lost for good. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/cowslipport-node review/standins-2/target/release/review-2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec timeout 110 review/standins-2/target/release/review-2 advised review/10
