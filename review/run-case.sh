#!/usr/bin/env bash
# Runs the program of a case: run-case.sh CLASS RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. The time limit ends the program and with it the processes that it started.
set -uo pipefail
class=$1
record=$2
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -f target/cornelramp.jar ] || [ ! -d target/review ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
timeout -k 2 115 java -Xmx1g -XX:TieredStopAtLevel=1 -cp target/review:target/cornelramp.jar "review.$class" "$record" \
  2> "target/review/$class.err"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
