#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: the project's own, which they import from platform/dist.
# Those of the cases themselves are plain JavaScript and Python.
set -e
cd "$(dirname "$0")/.."
npx tsc -b
