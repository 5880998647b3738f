/**
 * Which machines are ready to move, and how they move: only when nothing is on a machine and nothing may still arrive
 * there. Each row removes one of the conditions that together prove that.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { MachineRecords } from '../src/shards/machine-records/machine-records.js';
import { toCandidate } from '../src/rebalancing/move-candidates.js';
import type { MachineState } from '../src/core/shard/shard.js';
import { encodeMachineGroup } from '../src/store/codecs/machine-group.js';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { job, machine, ownedShard, shardWith, Store } from './helpers.js';

const NOW = 1000;
const readyMachine = () => {
  const store = new Store().add(machine('x'), job({ tasks: 1 }));
  const shard = shardWith(store);
  const m = shard.machines.get('x')!;
  Object.assign(m, {
    confirmedSince: NOW,
    lastStatusAt: NOW,
    lastHeartbeatAt: NOW,
    cordoned: true,
  });
  Object.assign(m, { record: { ...m.record, up: true } });
  return { shard, m };
};

const CONDITIONS: [string, (m: MachineState) => void, boolean][] = [
  ['nothing is there', () => undefined, true],
  ['it is not cordoned', (m) => (m.cordoned = false), false],
  [
    'the worker lists an ended task, which a late start could begin again',
    (m) => (m.reportedTaskCount = 1),
    false,
  ],
  ['a direct start has no answer yet', (m) => void m.unsettledDirectStarts.add('j/0@1'), false],
  ['a task is there that is being stopped', (m) => (m.unknownTaskCount = 1), false],
  ['it has not answered under this term', (m) => (m.confirmedSince = null), false],
  ['it is unreachable', (m) => (m.lastStatusAt = m.lastHeartbeatAt = -1e6), false],
  ['commands to it are lost', (m) => (m.commandsLostSince = NOW), false],
  ['it has a preemption notice', (m) => (m.preemptionAt = NOW), false],
  ['it is to be returned', (m) => (m.terminating = true), false],
  ['it is being emptied', (m) => (m.lifecycle = 'draining'), false],
  ["its record is another shard's", (m) => (m.lifecycle = 'orphaned'), false],
  ['it fails tasks', (m) => (m.faultStatus = 'quarantined'), false],
  ['its record does not say that it is up', (m) => (m.record = { ...m.record, up: false }), false],
];

for (const [name, change, ready] of CONDITIONS) {
  test(`may a machine move: ${name}`, () => {
    const { shard, m } = readyMachine();
    change(m);
    assert.equal(toCandidate(shard, m, NOW).readyToMove, ready);
  });
}

test('a cordoned machine gets no tasks, and gets them again when it is uncordoned', () => {
  const { shard, m } = readyMachine();
  shard.placeAll(NOW);
  assert.equal(m.tasks.size, 0);
  m.cordoned = false;
  shard.placeAll(NOW);
  assert.equal(m.tasks.size, 1);
});

/** Shard 0 has two groups of machines: `x` and `y`, and `z`. */
const cacheWithGroups = (): WatchCache => {
  const cache = new WatchCache();
  const groupChange = (key: string, names: string[], revision: number) => {
    const machines = new Map(names.map((name) => [name, true]));
    const value = encodeMachineGroup({ ...machine('x', { shard: 0, term: 1 }), machines });
    return { key, value, revision, removed: false };
  };
  const changes = [groupChange('machines/g', ['x', 'y'], 5), groupChange('machines/h', ['z'], 6)];
  cache.apply({ isListing: true, revision: 9, consistentFrom: 9, changes });
  return cache;
};

test('machines move in one transaction that depends on both shards, their groups and the move', async () => {
  const cache = cacheWithGroups();
  const sent: { guards: readonly Guard[]; writes: readonly Write[] }[] = [];
  const client = {
    compareAndSwap: (_priority: unknown, guards: readonly Guard[], writes: readonly Write[]) => {
      sent.push({ guards, writes });
      return Promise.resolve({ ok: true as const, epoch: 10 });
    },
  };
  const records = new MachineRecords({
    config: { storeLimits: { valueBytes: 8192, transactionOps: 4 } },
    client,
    cache,
    waitForCurrentCache: () => Promise.resolve(),
    now: () => 0,
    log: pino({ level: 'silent' }),
  });
  const { shard } = readyMachine();
  const moved = await records.move(ownedShard(shard), ['x', 'z'], {
    shard: 1,
    term: 8,
    shardGuard: { key: 'parts/1', revision: 7 },
    group: 'moved-m-3',
    guards: [{ key: 'shares/moves/m', revision: 3 }],
    writes: (names) => [{ put: 'shares/moves/m', value: names }],
  });
  assert.deepEqual(moved, ['x', 'z']);
  assert.deepEqual(
    new Map(sent[0]!.guards.map(({ key, revision }) => [key, revision])),
    new Map([
      ['parts/0', 1],
      ['parts/1', 7],
      ['machines/moved-m-3', 0],
      ['machines/g', 5],
      ['machines/h', 6],
      ['shares/moves/m', 3],
    ]),
  );
  assert.equal(sent[0]!.writes.length, 4, 'as many as a transaction holds');
  assert.equal(cache.machines.get('x')?.value.shard, 1);
  assert.equal(cache.machines.get('x')?.value.term, 8);
  assert.equal(cache.machines.get('y')?.value.shard, 0);
});
