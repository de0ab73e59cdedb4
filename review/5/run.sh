#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/bin/jujubereachd ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" "$here/record.txt" "$folder"
status=$?
rm -rf "$folder"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
