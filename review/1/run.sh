#!/usr/bin/env bash
# Plays the case of claim.txt against the built project and writes record.txt. Status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
set -euo pipefail
command -v java > /dev/null || { echo "no java"; exit 2; }
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -d "$here/../target/classes" ]; then
    "$here/../build.sh" || exit 2
fi
[ -f "$root/sidecar/target/trestlegrade.jar" ] || { echo "build the project first"; exit 2; }
exec java -Djava.io.tmpdir="${TMPDIR:-/tmp}" -cp "$here/../target/classes" review.Main runs-twice-after-reload "$root" "$here"
