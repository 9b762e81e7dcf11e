#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x review/bin/case-2 ] && [ -x target/turmericline-gateway ] && [ -x target/turmericline-expert-agent ] || {
    echo "build first" >&2
    exit 2
}
export TROUBLE=${TROUBLE:-1}
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 3 115 "review/bin/case-2" "$case/record.txt"
status=$?
[ $status -le 1 ] && exit $status
exit 2
