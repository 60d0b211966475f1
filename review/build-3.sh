#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on; needs a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/src/*.java
