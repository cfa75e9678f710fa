#!/bin/sh
# Builds what the scripts of the second review start: the program of the deploy file, and the stand-ins.
#
# The stand-ins are Python 3 without packages; they are compiled into target/review-2/ to show that they can run.
set -e
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
test -n "$build"
sh -c "$build"
mkdir -p target/review-2
for file in review/stand-2/stand_ins.py review/[6-9]/case.py review/10/case.py; do
    test -f "$file" || continue
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$file" "target/review-2/$(echo "$file" | tr / -)c"
done
