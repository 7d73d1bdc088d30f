#!/usr/bin/env bash
# Compiles the stand-ins of the review into review/target/classes. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standins/review/*.java
