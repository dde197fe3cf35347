#!/usr/bin/env bash
# Runs the script of one case: run-case.sh FOLDER TROUBLE, where 0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review/case-$(basename "$folder")
if [[ ! -x target/bilberryd || ! -x "$program" ]]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=5 115 "$program" "$folder" "$temporary" "${2:-1}"
status=$?
# All processes that the program started end with it.
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
