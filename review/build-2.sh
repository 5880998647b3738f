#!/bin/sh
# The stand-ins of these cases are JavaScript, which needs no build: this checks them, and that the program was built.
set -e
cd "$(dirname "$0")/.."
test -f target/sumacstep.js
test -d node_modules/cborg && test -d node_modules/smol-toml
for file in review/stand-ins-2/*.mjs review/[456]/case.mjs; do node --check "$file"; done
