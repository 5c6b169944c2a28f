#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it after the build line of deploy/system.toml,
# which puts the libraries under target/lib.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -cp 'target/lib/*' -d target/review review/src/*.java
