#!/bin/sh
# Compiles the stand-ins, which use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
