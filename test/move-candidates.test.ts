import assert from 'node:assert/strict';
import { test } from 'node:test';
import { candidateOf } from '../src/shares/share-owner.js';
import type { MachineState } from '../src/core/part.js';
import { job, machine, partWith, Store } from './helpers.js';

/**
 * A machine may move only when nothing is on it and nothing may still arrive there. Each row spoils one of the
 * things that together prove that.
 */
const NOW = 1000;
const settledMachine = () => {
  const store = new Store().add(machine('x'), job({ tasks: 1 }));
  const part = partWith(store);
  const m = part.machines.get('x')!;
  Object.assign(m, { known: true, lastHeartbeatAt: NOW, reportedAt: NOW, moving: true });
  Object.assign(m, { record: { ...m.record, up: true } });
  return { part, m };
};

const rows: [string, (m: MachineState) => void, boolean][] = [
  ['nothing is there', () => undefined, true],
  ['it may still get work', (m) => (m.moving = false), false],
  [
    'the worker lists an ended task, which a late start could begin again',
    (m) => (m.listed = 1),
    false,
  ],
  ['a direct start has no answer yet', (m) => void m.doubtful.add('j/0@1'), false],
  ['a task is there that is being stopped', (m) => (m.foreign = 1), false],
  ['it has not answered under this term', (m) => (m.known = false), false],
  ['it is silent', (m) => (m.lastHeartbeatAt = m.reportedAt = -1e6), false],
  ['it seems to hear nothing', (m) => (m.ignoringSince = NOW), false],
  ['it has a notice', (m) => (m.noticeAt = NOW), false],
  ['it is to be returned', (m) => (m.returning = true), false],
  ['its record does not say that it is up', (m) => (m.record = { ...m.record, up: false }), false],
];

for (const [name, spoil, settled] of rows) {
  test(`may a machine move: ${name}`, () => {
    const { part, m } = settledMachine();
    spoil(m);
    assert.equal(candidateOf(part, m, NOW).settled, settled);
  });
}

test('a chosen machine gets no work, and gets it again when it is let go', () => {
  const { part, m } = settledMachine();
  part.placeAll(NOW);
  assert.equal(m.tasks.size, 0);
  m.moving = false;
  part.placeAll(NOW);
  assert.equal(m.tasks.size, 1);
});
