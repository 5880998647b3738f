/** Rentals: recorded before the first call, repeated under the same name until they are answered. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { CloudRequestError } from '../src/cloud/errors.js';
import { type RentResult } from '../src/cloud/cloud-client.js';
import { MachineRecords } from '../src/shards/machine-records/machine-records.js';
import { CapacityBackoff } from '../src/shards/scale-out/capacity-backoff.js';
import {
  MAX_RENTAL_BATCH,
  NO_CAPACITY_BACKOFF_MS,
  RENTAL_RETRY_MS,
} from '../src/shards/scale-out/constants.js';
import { RentalRequests } from '../src/shards/scale-out/rental-requests.js';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { ownedShard, shardWith, Store } from './helpers.js';
import { MemoryStore } from './standins/memory-store.js';

const KIND = { type: 'm', zone: 'z', spot: false };
const LOG = pino({ level: 'silent' });

const settle = () => new Promise((resolve) => setImmediate(resolve));

/** A shard whose rentals the cloud answers one by one, as the test says. */
class RentalScene {
  now = 0;
  readonly cache = new WatchCache();
  readonly store = new MemoryStore();
  readonly owned = ownedShard(shardWith(new Store()));
  readonly backoff = new CapacityBackoff();
  /** calls at the cloud, each with whether its rental was in the store by then */
  readonly calls: { name: string; count: number; recorded: boolean }[] = [];
  readonly answers: { resolve: (result: RentResult) => void; reject: (error: Error) => void }[] =
    [];
  readonly rentals: RentalRequests;

  constructor(valueBytes = 8192) {
    const config = { node: 'n0', storeLimits: { valueBytes, transactionOps: 4 } };
    const client = {
      compareAndSwap: (_priority: unknown, guards: readonly Guard[], writes: readonly Write[]) =>
        Promise.resolve(this.store.commit(guards, writes)),
    };
    const common = { config, client, cache: this.cache, now: () => this.now, log: LOG };
    const record = { owner: 'n0', incarnation: 'a', term: 1 };
    this.store.values.set('parts/0', { value: record, revision: 1 });
    this.store.applyTo(this.cache, 'listing');
    this.rentals = new RentalRequests({
      ...common,
      incarnation: 'a',
      backoff: this.backoff,
      machineRecords: new MachineRecords({
        ...common,
        waitForCurrentCache: () => Promise.resolve(),
      }),
      cloud: {
        rent: ({ request, count }) => {
          const recorded = this.store.values.has(`hires/0/${request}`);
          this.calls.push({ name: request, count, recorded });
          return new Promise((resolve, reject) => this.answers.push({ resolve, reject }));
        },
      },
    });
  }

  async start(count: number): Promise<void> {
    await this.rentals.start(this.owned, [{ ...KIND, count }]);
    await settle();
  }

  async answer(outcome: RentResult | Error): Promise<void> {
    const call = this.answers.shift()!;
    if (outcome instanceof Error) call.reject(outcome);
    else call.resolve(outcome);
    await settle();
  }

  async requestAt(now: number): Promise<void> {
    this.now = now;
    this.rentals.requestRecorded(this.owned);
    await settle();
  }

  keys(): string[] {
    return [...this.store.values.keys()].filter((name) => name !== 'parts/0').sort();
  }
}

test('a rental is recorded before its call, and its answer replaces the record by a group', async () => {
  const scene = new RentalScene();
  await scene.start(2);
  assert.deepEqual(scene.calls, [{ name: 'n0-a-1', count: 2, recorded: true }]);
  assert.deepEqual(scene.store.values.get('hires/0/n0-a-1')?.value, { ...KIND, count: 2 });
  await scene.answer({ kind: 'rented', machines: ['x', 'y'] });
  assert.deepEqual(scene.keys(), ['machines/n0-a-1']);
  assert.deepEqual([...scene.cache.machines.keys()], ['x', 'y']);
  assert.equal(scene.backoff.isActive(KIND, 0), false);
});

test('a call without an answer is repeated under the same name, after a pause and one at a time', async () => {
  const scene = new RentalScene();
  await scene.start(1);
  await scene.requestAt(10 * RENTAL_RETRY_MS);
  assert.equal(scene.calls.length, 1, 'the first call is under way');
  await scene.answer(new CloudRequestError('no_response', 'no answer'));
  await scene.requestAt(scene.now + RENTAL_RETRY_MS - 1);
  assert.equal(scene.calls.length, 1, 'not before the pause is over');
  await scene.requestAt(scene.now + 1);
  assert.deepEqual(
    scene.calls.map(({ name }) => name),
    ['n0-a-1', 'n0-a-1'],
  );
  assert.deepEqual(scene.keys(), ['hires/0/n0-a-1']);
});

const INCOMPLETE: [string, RentResult, string[]][] = [
  ['no capacity', { kind: 'no_capacity' }, []],
  ['a malformed call', { kind: 'malformed', answer: '{}' }, []],
  ['fewer machines than asked for', { kind: 'rented', machines: ['x'] }, ['machines/n0-a-1']],
];

for (const [name, result, keys] of INCOMPLETE) {
  test(`after an answer the rental is settled and its kind backs off: ${name}`, async () => {
    const scene = new RentalScene();
    await scene.start(2);
    await scene.answer(result);
    assert.deepEqual(scene.keys(), keys);
    assert.equal(scene.backoff.isActive(KIND, NO_CAPACITY_BACKOFF_MS - 1), true);
    assert.equal(scene.backoff.isActive(KIND, NO_CAPACITY_BACKOFF_MS), false);
    assert.equal(scene.backoff.isActive({ ...KIND, zone: 'y' }, 0), false);
  });
}

test('rentals are cut to what one record holds, and to as many as one transaction holds', async () => {
  for (const [valueBytes, counts] of [
    [8192, [MAX_RENTAL_BATCH, MAX_RENTAL_BATCH, 20]],
    [512, [5, 5, 5, 5]],
  ] as const) {
    const scene = new RentalScene(valueBytes);
    await scene.start(120);
    assert.deepEqual(
      scene.calls.map(({ count }) => count),
      counts,
    );
    assert.ok(scene.calls.every(({ recorded }) => recorded));
  }
});
