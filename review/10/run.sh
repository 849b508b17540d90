#!/usr/bin/env bash
# Runs the scripted case of this folder against the programs of the deploy
# file, on loopback. Writes record.txt. Exit code: 0 the rule held, 1 it was
# broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$root/target/review-2/case-$(basename "$here")
[ -x "$case" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$case" "$root" "$folder" "$here/record.txt"
status=$?
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
