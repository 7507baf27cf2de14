#!/bin/sh
# Puts the run-time libraries and the workspace's packages into target/deps.
set -eu
mkdir -p target/deps
if [ ! -e target/.libraries ] || [ deploy/requirements.lock -nt target/.libraries ]; then
    python3 -m pip install --quiet --disable-pip-version-check \
        --upgrade --require-hashes --target target/deps \
        -r deploy/requirements.lock
    touch target/.libraries
fi
for package in core wire node; do
    rm -rf "target/deps/lovagemast_$package"
    cp -R "packages/lovagemast-$package/src/lovagemast_$package" target/deps/
done
rm -rf target/deps/lovagemast_platform
cp -R platform/src/lovagemast_platform target/deps/
python3 -m compileall -q target/deps
