import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import type { PlatformConfig } from '../src/config/platform.js';
import { MachineRecords } from '../src/shards/machine-records.js';
import { candidateOf } from '../src/rebalancing/move-candidates.js';
import type { MachineState } from '../src/core/shard/shard.js';
import { encodeMachineGroup } from '../src/store/keys.js';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Guard, Write } from '../src/wire/schemas.js';
import { job, machine, ownedShard, shardWith, Store } from './helpers.js';

/**
 * A machine may move only when nothing is on it and nothing may still arrive there. Each row spoils one of the
 * things that together prove that.
 */
const NOW = 1000;
const settledMachine = () => {
  const store = new Store().add(machine('x'), job({ tasks: 1 }));
  const shard = shardWith(store);
  const m = shard.machines.get('x')!;
  Object.assign(m, { known: true, lastStatusAt: NOW, lastHeartbeatAt: NOW, cordoned: true });
  Object.assign(m, { record: { ...m.record, up: true } });
  return { shard, m };
};

const rows: [string, (m: MachineState) => void, boolean][] = [
  ['nothing is there', () => undefined, true],
  ['it may still get work', (m) => (m.cordoned = false), false],
  [
    'the worker lists an ended task, which a late start could begin again',
    (m) => (m.listed = 1),
    false,
  ],
  ['a direct start has no answer yet', (m) => void m.doubtful.add('j/0@1'), false],
  ['a task is there that is being stopped', (m) => (m.unknownTasks = 1), false],
  ['it has not answered under this term', (m) => (m.known = false), false],
  ['it is silent', (m) => (m.lastStatusAt = m.lastHeartbeatAt = -1e6), false],
  ['it seems to hear nothing', (m) => (m.commandsLostSince = NOW), false],
  ['it has a notice', (m) => (m.preemptionNoticeAt = NOW), false],
  ['it is to be returned', (m) => (m.terminating = true), false],
  ['its record does not say that it is up', (m) => (m.record = { ...m.record, up: false }), false],
];

for (const [name, spoil, settled] of rows) {
  test(`may a machine move: ${name}`, () => {
    const { shard, m } = settledMachine();
    spoil(m);
    assert.equal(candidateOf(shard, m, NOW).readyToMove, settled);
  });
}

test('a chosen machine gets no work, and gets it again when it is let go', () => {
  const { shard, m } = settledMachine();
  shard.placeAll(NOW);
  assert.equal(m.tasks.size, 0);
  m.cordoned = false;
  shard.placeAll(NOW);
  assert.equal(m.tasks.size, 1);
});

test('machines move in one transaction that depends on both shards, their groups and the move', async () => {
  const cache = new WatchCache();
  const group = (hosts: string[]) =>
    encodeMachineGroup({
      ...machine('x', { shard: 0, term: 1 }),
      hosts: new Map(hosts.map((n) => [n, true])),
    });
  const put = (key: string, value: unknown, revision: number) => ({
    key,
    value,
    revision,
    removed: false,
  });
  const changes = [put('machines/g', group(['x', 'y']), 5), put('machines/h', group(['z']), 6)];
  cache.apply({ fresh: true, epoch: 9, whole: 9, changes });
  const sent: { guards: readonly Guard[]; writes: readonly Write[] }[] = [];
  const client = {
    compareAndSwap: (_cls: unknown, guards: readonly Guard[], writes: readonly Write[]) => {
      sent.push({ guards, writes });
      return Promise.resolve({ ok: true as const, epoch: 10 });
    },
  };
  const records = new MachineRecords(
    { storeLimits: { valueBytes: 8192, transactionOps: 4 } } as unknown as PlatformConfig,
    client,
    cache,
    () => Promise.resolve(),
    () => 0,
    pino({ level: 'silent' }),
  );
  const { shard } = settledMachine();
  const moved = await records.move(ownedShard(shard), ['x', 'z'], {
    shard: 1,
    term: 8,
    condition: { key: 'parts/1', revision: 7 },
    group: 'moved-m-3',
    guards: [{ key: 'shares/moves/m', revision: 3 }],
    writes: (names) => [{ put: 'shares/moves/m', value: names }],
  });
  assert.deepEqual(moved, ['x', 'z']);
  assert.deepEqual(
    new Map(sent[0]!.guards.map((c) => [c.key, c.revision])),
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
