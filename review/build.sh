#!/bin/sh
# The stand-ins are plain JavaScript and need no build; this only checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/*.mjs; do
  node --check "$file"
done
