#!/usr/bin/env bash
# A replica leaves without "draining" while gateways are cut off from the store. Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/late_leave
[ -x "$program" ] && [ -x target/turmericline-gateway ] || { echo "build first: scripts/deploy-build, review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE:-1} timeout -k 5 112 "$program" "$here/record.txt" "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
