#!/usr/bin/env bash
# How long a part and a duty are without a holder after its end, and what duties cost. Not a part of CI.
# Usage: scripts/duty-takeover.sh [ROUNDS [REPORT.html]]
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b
npx tsc -p tsconfig.test.json
node target/test/test/measurements/duty-takeover.js "${1:-20}" "${2:-target/duty-takeover.html}"
