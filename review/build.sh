#!/usr/bin/env bash
# Compiles the stand-ins of the cases, the project's own ones too, against the jar of the deploy file's build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -nowarn -d target/review -cp target/cornelramp.jar \
  platform/src/main/java/org/cornelramp/platform/standin/*.java review/*.java review/[1-5]/*.java
