#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../../.." && pwd)
program=$root/review/bin/kept-list
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
[ -x "$root/bin/olivearch" ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
timeout -k 5 100 "$program" "$root" "$folder/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
