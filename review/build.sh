#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs the output of deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review -cp "target/platform/lib/*" review/standins/review/*.java
