#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file comes before.
set -e
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx tsc -b
