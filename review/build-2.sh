#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -encoding UTF-8 -d target/review-2 review/standins-2/*.java
