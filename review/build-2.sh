#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; the build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
javac -nowarn -d target/review2 -cp 'target/platform/lib/*' review/standins-2/review2/*.java
