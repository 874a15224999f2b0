#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out;
# LOGS=DIR keeps the proxies' logs there.
set -u
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD=$here/record.txt
FOLDER=$(mktemp -d) || exit 2
export ROOT RECORD FOLDER
program=$ROOT/review/standins/target/release/case$(basename "$here")
result=2
if [ -x "$program" ] && [ -x "$ROOT/target/release/crankmux" ]; then
    timeout -k 2 112 "$program"
    result=$?
else
    echo "build first: the deploy file's build, then review/build.sh" >&2
fi
case $result in
0 | 1) ;;
*) # The program ends its proxies itself; here it was stopped, or failed.
    [ -e "$FOLDER/processes" ] && xargs -r kill -9 <"$FOLDER/processes" 2>/dev/null
    result=2
    ;;
esac
if [ -n "${LOGS:-}" ]; then
    mkdir -p "$LOGS" && cat "$FOLDER"/*/log >"$LOGS/log"
fi
rm -rf "$FOLDER"
exit $result
