#!/bin/bash
# run.sh CASE FOLDER: runs the program of a case; its files go to a temporary
# folder, its record to FOLDER/record.txt.
set -u
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/../.."
program="target/review-3/case-$1"
[ -x "$program" ] && [ -x target/platform/citrongap_entry ] || exit 2
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
timeout -s KILL 115 "$program" "$work" "$folder/record.txt"
code=$?
[ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
[ "$code" -le 1 ] || code=2
exit "$code"
