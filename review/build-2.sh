#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 -cp "target/lib/*" review/stand-2/*.java
