#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs with the JDK against the controller's jar. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -cp target/dunespindle.jar -d target/review review/stand/*.java
