#!/usr/bin/env bash
# Machines move between parts every few seconds for ten minutes, with faults mixed in. Not a part of CI.
# Usage: scripts/share-moves.sh [SECONDS [REPORT.html [SEED ...]]]
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b
npx tsc -p tsconfig.test.json
node target/test/test/measurements/share-moves.js "${1:-600}" "${2:-target/share-moves.html}" "${@:3}"
