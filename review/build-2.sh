#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 4 to 6) with the JDK alone. No network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir -p target/fleet
javac --release 17 -Xlint:all,-try -Werror -d target ./*.java
javac --release 17 -Xlint:all,-try -Werror -d target/fleet fleet/*.java
