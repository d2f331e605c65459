#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK only; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review $(find review -name '*.java')
