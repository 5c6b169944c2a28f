#!/bin/sh
# Builds the stand-ins and trials of review/src-2 into target/review-2, after the build line of deploy/system.toml.
# It uses the libraries that that build puts into target/lib, and nothing else.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -cp "target/lib/*" -d target/review-2 review/src-2/*.java
