#!/usr/bin/env bash
# Moves machines between parts every few seconds for ten minutes by default, while faults are injected. Not part of CI.
# Usage: scripts/share-moves.sh [SECONDS [REPORT.html [SEED ...]]]
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b
npx tsc -p tsconfig.test.json
node target/test/test/measurements/share-moves.js "${1:-600}" "${2:-target/share-moves.html}" "${@:3}"
