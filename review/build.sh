#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java
