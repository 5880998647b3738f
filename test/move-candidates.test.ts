/**
 * A machine may move only if no task is on it and no start of a task can still arrive there. Each row of the table
 * violates one of the conditions that together ensure this. Machines then move in one guarded transaction.
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
  const machineState = shard.machines.get('x')!;
  Object.assign(machineState, {
    confirmedSince: NOW,
    lastStatusAt: NOW,
    lastHeartbeatAt: NOW,
    cordoned: true,
  });
  Object.assign(machineState, { record: { ...machineState.record, up: true } });
  return { shard, machineState };
};

const CONDITIONS: [string, (machineState: MachineState) => void, boolean][] = [
  ['no task is on it', () => undefined, true],
  ['it is not cordoned', (m) => (m.cordoned = false), false],
  [
    'its worker lists an ended task, which a late start command could run again',
    (m) => (m.reportedTaskCount = 1),
    false,
  ],
  [
    'a start that was sent directly has no answer yet',
    (m) => void m.fencing.recordStart('j/0@1', NOW),
    false,
  ],
  [
    'a copy of a start that was sent directly may still be executed',
    (m) => m.fencing.settle(m.fencing.recordStart('j/0@1', NOW), true),
    false,
  ],
  ['an unknown task on it is being stopped', (m) => (m.unknownTaskCount = 1), false],
  ['it has not confirmed its tasks under this term', (m) => (m.confirmedSince = null), false],
  ['it is unreachable', (m) => (m.lastStatusAt = m.lastHeartbeatAt = -1e6), false],
  ['commands to it were lost', (m) => (m.commandsLostSince = NOW), false],
  ['it has a preemption notice', (m) => (m.preemptionAt = NOW), false],
  ['it is being returned to the cloud', (m) => (m.terminating = true), false],
  ['it is draining', (m) => (m.lifecycle = 'draining'), false],
  ['its record belongs to another shard', (m) => (m.lifecycle = 'orphaned'), false],
  ['it is quarantined since tasks fail on it', (m) => (m.faultStatus = 'quarantined'), false],
  ['its record does not mark it as up', (m) => (m.record = { ...m.record, up: false }), false],
];

for (const [condition, change, ready] of CONDITIONS) {
  test(`a machine is ${ready ? '' : 'not '}ready to move: ${condition}`, () => {
    const { shard, machineState } = readyMachine();
    change(machineState);
    assert.equal(toCandidate(shard, machineState, NOW).readyToMove, ready);
  });
}

test('a cordoned machine gets no tasks until it is uncordoned', () => {
  const { shard, machineState } = readyMachine();
  shard.placeAll(NOW);
  assert.equal(machineState.tasks.size, 0);
  machineState.cordoned = false;
  shard.placeAll(NOW);
  assert.equal(machineState.tasks.size, 1);
});

/** Returns a cache in which shard 0 has two groups of machines: one of `x` and `y`, and one of `z`. */
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

test('machines move in one transaction guarded by both shards, the machine groups and the move', async () => {
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
  assert.equal(sent[0]!.writes.length, 4, 'exactly as many writes as a transaction allows');
  assert.equal(cache.machines.get('x')?.value.shard, 1);
  assert.equal(cache.machines.get('x')?.value.term, 8);
  assert.equal(cache.machines.get('y')?.value.shard, 0);
});
