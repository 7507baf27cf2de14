#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are
# Python with the standard library only, so this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness2 review/[6-9] review/10 2>/dev/null ||
    python3 -m compileall -q review/harness2
