#!/usr/bin/env bash
# Measures for how long a part and a duty have no holder after the previous one has failed, and what duties cost. Not
# part of CI.
# Usage: scripts/duty-takeover.sh [ROUNDS [REPORT.html]]
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b
npx tsc -p tsconfig.test.json
node target/test/test/measurements/duty-takeover.js "${1:-20}" "${2:-target/duty-takeover.html}"
