#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and need no package.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common 1 2 3 4
