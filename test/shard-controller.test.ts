import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { parseOperatorConfig } from '../src/config/operator.js';
import type { PlatformConfig } from '../src/config/platform.js';
import { FAILBACK_MS } from '../src/core/ownership/constants.js';
import { ATTEMPTS_PER_TERM } from '../src/core/shard/constants.js';
import {
  TRANSFER_SETTLE_MS,
  BALANCE_AFTER_MS,
  TRANSFER_AFTER_MS,
  TRANSFER_EVERY_MS,
} from '../src/shards/constants.js';
import { STORE_RETRY_MS } from '../src/store/constants.js';
import { renewableMs } from '../src/core/cancellation/lease-renewal.js';
import { ShardController } from '../src/shards/shard-controller.js';
import { StoreRequestError, type CompareAndSwapResult } from '../src/store/store-client.js';
import { encodeJob, encodeMachineGroup } from '../src/store/keys.js';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Write } from '../src/wire/schemas.js';
import { job, machine, machineType, settings, silentRejections } from './helpers.js';

const CONFIG = {
  node: 'n0',
  nodes: 2,
  peers: [{ node: 'n1', address: '' }],
  teams: settings().teams,
  workers: { heartbeatIntervalS: 3, leaseS: 18, gangWaitS: 50, gangPeerS: 6, cancelS: 38 },
  storeLimits: { rps: 100, writeRps: 100, valueBytes: 8192, transactionOps: 8 },
} as unknown as PlatformConfig;

const X_UP = new Map([['x', true]]);

/** A shard controller that owns shard 1, which belongs to a node that is back, and whose calls can be made to fail. */
const scene = () => {
  const cache = new WatchCache();
  const world = {
    now: 0,
    valid: true,
    knownUntil: Infinity,
    /** what a current read finds; null: what the cache shows */
    current: null as { key: string; value: unknown; revision: number } | null,
    room: null as { shard: number; tasks: number } | null,
    lessAllocated: null as number | null,
    outcome: (writes: readonly Write[]): CompareAndSwapResult | StoreRequestError => {
      void writes;
      return { ok: true, epoch: 50 };
    },
    written: [] as Write[][],
  };
  const client = {
    get: (name: string) => {
      if (world.current !== null) return Promise.resolve(world.current);
      const item = cache.tables.activeJobs.get(name.slice('active/'.length));
      if (item === undefined) return Promise.resolve({ missing: true as const, storeRevision: 0 });
      return Promise.resolve({
        key: name,
        value: encodeJob(item.value),
        revision: item.revision,
      });
    },
    compareAndSwap: (_c: unknown, _w: unknown, writes: readonly Write[]) => {
      world.written.push([...writes]);
      const result = world.outcome(writes);
      return result instanceof StoreRequestError ? Promise.reject(result) : Promise.resolve(result);
    },
  };
  const shardController = new ShardController(
    CONFIG,
    parseOperatorConfig('', ''),
    'a',
    client,
    cache,
    { valid: () => world.valid, registeredAt: 1, validSince: -Infinity },
    () => Promise.resolve(),
    {
      withStore: () => null,
      fit: (n) => (n === 'n1' ? 'b' : null),
      hears: () => null,
      capacityElsewhere: () => world.room,
      lessAllocated: () => world.lessAllocated,
      imagesOf: () => new Map(),
      cancellationsKnownUntil: () => world.knownUntil,
    },
    silentRejections(),
    () => new Map([['m', machineType()]]),
    () => [],
    () => world.now,
    () => 0,
    pino({ level: 'silent' }),
  );
  const put = (key: string, value: unknown, revision: number) => ({
    key,
    value,
    revision,
    removed: false,
  });
  cache.apply({
    isListing: true,
    revision: 20,
    consistentFrom: 20,
    changes: [
      put('term', 5, 10),
      put('parts/0', { owner: 'n0', incarnation: 'a', term: 4 }, 9),
      put('parts/1', { owner: 'n0', incarnation: 'a', term: 5 }, 10),
      put('nodes/n0/a', { incarnation: 'a' }, 2),
      put('nodes/n1/b', { incarnation: 'b' }, 11),
      put(
        'machines/g',
        encodeMachineGroup({ ...machine('x', { shard: 1, term: 5 }), machines: X_UP }),
        12,
      ),
      put('active/job-000001', encodeJob(job({}, 5, 1)), 13),
    ],
  });
  shardController.tick();
  return { shardController, cache, world };
};
const settle = () => new Promise((resolve) => setImmediate(resolve));
/** Lets the time come at which shard 1 is given back. */
const returns = async ({ shardController, world }: ReturnType<typeof scene>) => {
  world.now = FAILBACK_MS;
  shardController.tick();
  await settle();
};

test('a handover that fails leaves the shard as it was, with what it knows', async () => {
  const s = scene();
  const before = s.shardController.owned.get(1)!.shard;
  s.world.outcome = () => ({ ok: false, failed: ['term'] });
  await returns(s);
  s.shardController.tick();
  assert.ok(s.world.written.length > 0, 'it was tried');
  assert.equal(
    s.shardController.owned.get(1)?.shard,
    before,
    'the same object, never a second one',
  );
});

test('a handover without an answer: no acting until the shard is taken under a new term', async () => {
  const s = scene();
  s.world.outcome = () => new StoreRequestError('no_answer', 'lost');
  await returns(s);
  s.shardController.tick();
  assert.equal(s.shardController.owned.get(1)?.state, 'transferring');
  s.world.outcome = () => ({ ok: true, epoch: 60 });
  s.world.now += TRANSFER_SETTLE_MS + 1;
  s.shardController.tick();
  await settle();
  assert.equal(s.cache.tables.shards.get('1')?.value.term, 6);
  s.cache.apply({ isListing: false, changes: [], revision: 60 });
  s.shardController.tick();
  assert.equal(s.shardController.owned.get(1)?.shard.term, 6);
  assert.equal(
    s.shardController.owned.get(1)?.shard.recovered,
    false,
    'and everything must answer first',
  );
});

test('a shard that was lost from sight is not built again under its term', async () => {
  const s = scene();
  s.cache.tables.shards.delete('1');
  s.shardController.tick();
  assert.equal(s.shardController.owned.has(1), false);
  s.cache.apply({
    isListing: false,
    revision: 21,
    changes: [
      {
        key: 'parts/1',
        value: { owner: 'n0', incarnation: 'a', term: 5 },
        revision: 10,
        removed: false,
      },
    ],
  });
  s.shardController.tick();
  assert.equal(s.shardController.owned.has(1), false);
  await settle();
  assert.equal(s.cache.tables.shards.get('1')?.value.term, 6, 'taken anew instead');
});

test('a worker of a suspended or lost shard gets no answer that renews its lease for us', async () => {
  const s = scene();
  const heartbeat = {
    machine: 'x',
    address: 'a:1',
    type: 'm',
    zone: 'z',
    spot: false,
    agentEpoch: 1,
    counter: 1,
    fencingToken: 0,
    preemptionNoticeS: null,
    tasks: [],
  };
  assert.equal(s.shardController.handleHeartbeat(heartbeat).kind, 'answer');
  s.world.outcome = () => new StoreRequestError('no_answer', 'lost');
  await returns(s);
  assert.equal(s.shardController.handleHeartbeat({ ...heartbeat, counter: 2 }).kind, 'unavailable');
  assert.equal(
    s.shardController.handleHeartbeat({ ...heartbeat, machine: 'nobody' }).kind,
    'unavailable',
  );
});

test('without authority running work keeps its lease, and nothing new starts', () => {
  const s = scene();
  const heartbeat = (counter: number) => ({
    machine: 'x',
    address: 'a:1',
    type: 'm',
    zone: 'z',
    spot: false,
    agentEpoch: 1,
    counter,
    fencingToken: 5,
    preemptionNoticeS: null,
    tasks: [],
  });
  s.world.valid = false;
  assert.deepEqual(s.shardController.handleHeartbeat(heartbeat(1)), {
    kind: 'answer',
    fencingToken: 5,
    commands: [],
  });
  s.world.valid = true;
  const reply = s.shardController.handleHeartbeat(heartbeat(2));
  assert.equal(reply.kind === 'answer' ? reply.commands.length : 0, 1);
});

test('without current state leases are renewed only while no unknown cancellation can be overdue', () => {
  const s = scene();
  const running = { uid: 'job-000001', index: 0, attempt: 5 * ATTEMPTS_PER_TERM + 1 };
  const task = { ...running, state: 'running' as const, why: null, saved: false };
  const heartbeat = (counter: number, tasks = [task]) => ({
    machine: 'x',
    address: 'a:1',
    type: 'm',
    zone: 'z',
    spot: false,
    agentEpoch: 1,
    counter,
    fencingToken: 5,
    preemptionNoticeS: null,
    tasks,
  });
  const { cancelS, leaseS } = CONFIG.workers;
  assert.equal(s.shardController.handleHeartbeat(heartbeat(1)).kind, 'answer');
  s.world.valid = false;
  s.world.knownUntil = 0;
  s.world.now = renewableMs(cancelS * 1000, leaseS * 1000);
  assert.equal(s.shardController.handleHeartbeat(heartbeat(2)).kind, 'answer');
  s.world.now += 1;
  assert.equal(s.shardController.handleHeartbeat(heartbeat(3)).kind, 'unavailable');
  const m = s.shardController.owned.get(1)!.shard.machines.get('x')!;
  assert.equal(m.lastStatusAt, s.world.now, 'it is not taken for silent all the same');
  s.cache.learnCancelled({ uid: 'job-000001', tasks: 1, done: 0, epoch: 40 });
  s.world.knownUntil = s.world.now;
  s.shardController.tick();
  const reply = s.shardController.handleHeartbeat(heartbeat(4));
  assert.deepEqual(reply.kind === 'answer' && reply.commands, [
    { op: 'stop', ...running, graceS: 0 },
  ]);
  // A listing or a change from before the cancellation does not bring the job back.
  s.cache.apply({
    isListing: true,
    revision: 30,
    consistentFrom: 30,
    changes: [
      {
        key: 'active/job-000001',
        value: encodeJob(job({}, 5, 1)),
        revision: 13,
        removed: false,
      },
    ],
  });
  assert.equal(s.cache.tables.activeJobs.has('job-000001'), false);
  assert.equal(s.cache.finalStates.get('job-000001')?.status, 'cancelled');
});

let lostValue: unknown = null;

test('passing a stuck task: table', async () => {
  const stuck = async (
    outcome: (writes: readonly Write[]) => CompareAndSwapResult | StoreRequestError,
  ) => {
    const s = scene();
    s.world.room = { shard: 0, tasks: 2 };
    s.shardController.tick();
    s.world.now = TRANSFER_AFTER_MS + 1;
    s.world.outcome = outcome;
    s.shardController.tick();
    await settle();
    return s;
  };
  const ranges = (s: ReturnType<typeof scene>) =>
    s.cache.tables.activeJobs.get('job-000001')?.value.ranges;
  const moved = [{ from: 0, to: 1, shard: 0, term: 4 }];

  const good = await stuck(() => ({ ok: true, epoch: 50 }));
  assert.deepEqual(ranges(good), moved);
  good.cache.apply({ isListing: false, changes: [], revision: 50 });
  good.shardController.tick();
  assert.equal(good.shardController.owned.get(1)?.shard.jobs.size, 0, 'gone from here');
  assert.equal(good.shardController.owned.get(0)?.shard.waitingTasks(0, 0), 1, 'and waits there');

  const refused = await stuck(() => ({ ok: false, failed: ['active/job-000001'] }));
  await settle();
  refused.shardController.tick();
  assert.equal(refused.shardController.owned.get(1)?.shard.waitingTasks(0, 0), 1, 'still ours');

  // The first try was carried out, but its answer got lost; the second one meets a conflict.
  let tries = 0;
  const lost = await stuck((writes) => {
    tries += 1;
    if (tries === 1) {
      const [w] = writes;
      if (w !== undefined && 'put' in w) lostValue = w.value;
      return new StoreRequestError('no_answer', 'lost');
    }
    return { ok: false, failed: ['active/job-000001'] };
  });
  lost.world.current = { key: 'active/job-000001', value: lostValue, revision: 40 };
  await new Promise((resolve) => setTimeout(resolve, STORE_RETRY_MS + 200));
  assert.equal(tries, 2);
  assert.deepEqual(ranges(lost), moved, 'only the present record tells');
  lost.shardController.tick();
  assert.equal(
    lost.shardController.owned.get(1)?.shard.waitingTasks(0, 0) ?? 0,
    0,
    'not brought back as fresh',
  );
});

test('tasks pass to a shard that is booked less only after a long wait, and once in a while', async () => {
  const s = scene();
  s.world.lessAllocated = 0;
  // The other node is away, or it would get its shard back meanwhile.
  const away = { key: 'nodes/n1/b', value: undefined, revision: 21, removed: true };
  s.cache.apply({ isListing: false, revision: 21, changes: [away] });
  s.shardController.tick();
  const passes = () =>
    s.world.written.flat().filter((w) => 'put' in w && w.put === 'active/job-000001').length;
  s.world.now = BALANCE_AFTER_MS - 1;
  s.shardController.tick();
  await settle();
  assert.equal(passes(), 0, 'room may still come up here');
  s.world.now = BALANCE_AFTER_MS + TRANSFER_EVERY_MS;
  s.shardController.tick();
  await settle();
  assert.equal(passes(), 1);
  assert.deepEqual(s.cache.tables.activeJobs.get('job-000001')?.value.ranges, [
    { from: 0, to: 1, shard: 0, term: 4 },
  ]);
});

test('a closed controller does not go on trying to pass tasks', async () => {
  // The retries kept the process of a test alive for ever.
  const s = scene();
  s.world.room = { shard: 0, tasks: 2 };
  s.shardController.tick();
  s.world.now = TRANSFER_AFTER_MS + 1;
  s.world.outcome = () => new StoreRequestError('no_answer', 'gone');
  s.shardController.tick();
  await settle();
  s.shardController.close();
  const before = s.world.written.length;
  await new Promise((resolve) => setTimeout(resolve, 2 * STORE_RETRY_MS + 200));
  assert.ok(s.world.written.length <= before + 1, 'at most the try that was under way');
});

test('an own write shown late does not bring a cancelled job back to its shard', () => {
  // The shard would have started the tasks of a job whose user was told that it is cancelled
  // (docs/incidents/2026-12-02-went-back.md).
  const { shardController, cache } = scene();
  const uid = 'job-000002';
  const name = `active/${uid}`;
  const value = encodeJob(job({ uid }, 5, 1));
  const final = { status: 'cancelled', tasks: 1, done: 0 };
  cache.apply({
    isListing: false,
    revision: 22,
    changes: [
      { key: name, value, revision: 21, removed: false },
      { key: name, value: undefined, revision: 22, removed: true },
      { key: `final/${uid}`, value: final, revision: 22, removed: false },
    ],
  });
  cache.applyOwn([{ put: name, value }], 21);
  shardController.tick();
  const { shard } = shardController.owned.get(1)!;
  assert.ok(shard.jobs.has('job-000001'), 'the part runs');
  assert.ok(!shard.jobs.has(uid));
});
