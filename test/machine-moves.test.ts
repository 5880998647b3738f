/**
 * Machines move between the shards of three controllers every few seconds while jobs run. Even if controllers and
 * machines fail meanwhile, every job is done in the end and no invariant is violated at any time.
 * scripts/share-moves.sh runs the same for ten minutes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineMovesRun } from './standins/machine-moves.js';

const RUNS = [
  { name: 'nothing fails', seed: 1, faults: false },
  { name: 'controllers and machines fail', seed: 2, faults: true },
  { name: 'controllers and machines fail', seed: 3, faults: true },
];

for (const { name, seed, faults } of RUNS) {
  test(`machines move while jobs run: ${name}, seed ${seed}`, async (t) => {
    const run = new MachineMovesRun({ seed, durationS: 25, moveIntervalS: 2, faults });
    const { violations: broken, unfinished, counts } = await run.run();
    t.diagnostic(JSON.stringify(counts));
    assert.deepEqual(broken, []);
    assert.deepEqual(unfinished, []);
    // Each accepted move has finished or was aborted; with faults, either may happen.
    const ended = counts['finished']! + counts['aborted']!;
    assert.equal(ended, counts['moves']! - counts['refused']!, JSON.stringify(counts));
    assert.ok(ended > 0, JSON.stringify(counts));
    if (faults) return;
    assert.ok(counts['finished']! > 0 && counts['machinesMoved']! > 0, JSON.stringify(counts));
    // Without faults no task is stopped or lost, so each one is started exactly once.
    assert.equal(counts['starts'], counts['tasks']);
  });
}
