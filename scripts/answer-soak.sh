#!/usr/bin/env bash
# Runs the answer soak test at length: several seeds with hundreds of jobs each. Not part of CI.
# Usage: scripts/answer-soak.sh [FIRST_SEED [LAST_SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:-1}
last=${2:-10}
export SOAK_JOBS=${SOAK_JOBS:-400} SOAK_USERS=${SOAK_USERS:-40} SOAK_MACHINES=${SOAK_MACHINES:-60}
npx tsc -p tsconfig.test.json
failed=0
for ((seed = first; seed <= last; seed++)); do
  SOAK_SEED=$seed node --test --test-reporter=spec target/test/test/answer-soak.test.js || failed=1
done
exit $failed
