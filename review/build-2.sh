#!/bin/sh
# Builds the stand-ins and cases of this review, without a network and after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/lib-2/*.java $(ls review/[4-8]/*.java)
