#!/usr/bin/env bash
# Runs the script of one case five times with the disruption and twice without it: repeat.sh FOLDER.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
for trouble in 1 1 1 1 1 0 0; do
  TROUBLE=$trouble "review/$1/run.sh" > /dev/null
  echo "case $1 trouble=$trouble exit=$? $(grep -h 'RULE BROKEN\|rule held' "review/$1/record.txt" | sed 's/^ *[0-9]* ms *//')"
done
