#!/bin/sh
# The stand-ins and cases are plain modules that need no compiler, and use packages that package.json declares. This
# checks that all of them can be loaded.
set -e
cd "$(dirname "$0")"
for module in standins/*.mjs [0-9]/case.mjs; do
  node --check "$module"
done
test -f ../target/sumacstep.js || {
  echo "target/sumacstep.js is missing: run the build of deploy/service.toml first" >&2
  exit 2
}
