#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 9, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p target
javac -d target ./*.java
