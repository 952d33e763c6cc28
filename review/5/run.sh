#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. Needs the build of the deploy file and review/build-2.sh.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review-2/lab-2 ] || [ ! -x target/release/lavenderplank ]; then
    echo "build first: the command of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
exec target/review-2/lab-2 odd-entry "$folder"
