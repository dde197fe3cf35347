#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
[[ -x $program && -x target/bilberryd ]] || exit 2
SITE_FOLDER=$(mktemp -d) || exit 2
export SITE_FOLDER CASE_FOLDER=$folder
timeout -k 1 115 "$program"
status=$?
rm -rf "$SITE_FOLDER"
[[ $status -le 1 ]] || status=2
exit "$status"
