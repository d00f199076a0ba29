#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/standin-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec timeout --kill-after=5 110 target/review-2/standin-2 unread-patch "$folder"
