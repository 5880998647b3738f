/**
 * Machines move between the shards of three controllers every few seconds while jobs run. However controllers and
 * machines fail meanwhile, every job is done in the end and no rule is broken at any moment. Runs of ten minutes:
 * scripts/share-moves.sh.
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
    // Each move that was taken has come to its end; whether before its deadline, faults decide.
    const ended = counts['finished']! + counts['aborted']!;
    assert.equal(ended, counts['moves']! - counts['refused']!, JSON.stringify(counts));
    assert.ok(ended > 0, JSON.stringify(counts));
    if (faults) return;
    assert.ok(counts['finished']! > 0 && counts['machinesMoved']! > 0, JSON.stringify(counts));
    // Without faults nothing is stopped or lost: each task is started once.
    assert.equal(counts['starts'], counts['tasks']);
  });
}
