#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file: the project's stand-ins.
set -e
cd "$(dirname "$0")/.."
npx tsc -b
