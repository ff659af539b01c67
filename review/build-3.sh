#!/bin/sh
# Builds what the scripts of review 3 start. Their stand-ins are plain modules of Node.js without packages (review/lib-3), so that
# only their syntax is checked; the program itself is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
test -f target/dogwoodhoist.cjs
