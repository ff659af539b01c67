#!/usr/bin/env bash
# The stand-ins of this review are plain modules for Node.js 20 and need no build: this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
