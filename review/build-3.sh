#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. They are
# Python with the standard library only, so that compiling them is all.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness3 11
