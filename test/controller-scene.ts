import pino from 'pino';
import { parseOperatorConfig } from '../src/config/operator.js';
import type { PlatformConfig } from '../src/config/platform.js';
import { FAILBACK_DELAY_MS } from '../src/core/ownership/constants.js';
import type { Heartbeat, JobRecord, TaskRange } from '../src/core/model.js';
import type { OwnedShard } from '../src/shards/owned-shard.js';
import { ShardController } from '../src/shards/shard-controller.js';
import { encodeJob } from '../src/store/codecs/job.js';
import { encodeMachineGroup } from '../src/store/codecs/machine-group.js';
import { StoreRequestError } from '../src/store/errors.js';
import { type CompareAndSwapResult } from '@sumacstep/leader-election';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Write } from '@sumacstep/leader-election';
import { job, machine, machineType, settings, silentRejections } from './helpers.js';

/** Platform settings of node n0, with the peer n1. */
export const CONFIG = {
  node: 'n0',
  nodes: 2,
  peers: [{ node: 'n1', address: '' }],
  teams: settings().teams,
  workers: { heartbeatIntervalS: 3, leaseS: 18, gangWaitS: 50, gangPeerS: 6, cancelS: 38 },
  storeLimits: { rps: 100, writeRps: 100, valueBytes: 8192, transactionOps: 8 },
} as unknown as PlatformConfig;

export const JOB = 'job-000001';
export const JOB_KEY = `active/${JOB}`;

/** The term of shard 1, and its record. */
export const TERM = 5;
export const SHARD_1 = { owner: 'n0', incarnation: 'a', term: TERM };

type Outcome = CompareAndSwapResult | StoreRequestError;

/** A change of the watch: a value, or none for a removal. */
export const watchChange = (key: string, value: unknown, revision: number) => ({
  key,
  value,
  revision,
  removed: value === undefined,
});

export const jobChange = (record: JobRecord, revision: number) =>
  watchChange(`active/${record.spec.uid}`, encodeJob(record), revision);

/** A call without an answer. */
export const noAnswer = () => new StoreRequestError('no_response', 'lost');

/** Lets calls to the store return. */
export const flushStoreCalls = () => new Promise((resolve) => setImmediate(resolve));

/**
 * A controller that owns shard 1, whose preferred node n1 is back, with machine x and a job of one task. Calls to the
 * store can be made to fail.
 */
export class ControllerScene {
  now = 0;
  leaseValid = true;
  cancellationsKnownUntil = Infinity;
  /** what a linearizable read of the job finds; null: what the cache shows */
  stored: { key: string; value: unknown; revision: number } | null = null;
  shardWithFreeCapacity: { shard: number; tasks: number } | null = null;
  lessAllocatedShard: number | null = null;
  outcome: (writes: readonly Write[]) => Outcome = () => ({ ok: true, epoch: 50 });
  readonly written: Write[][] = [];
  readonly cache = new WatchCache();
  readonly controller: ShardController;
  #counter = 0;

  constructor() {
    this.controller = new ShardController({
      config: CONFIG,
      operator: parseOperatorConfig('', ''),
      incarnation: 'a',
      client: {
        get: (key) => Promise.resolve(this.#read(key)),
        compareAndSwap: (_priority, _guards, writes) => this.#write(writes),
      },
      cache: this.cache,
      lease: { valid: () => this.leaseValid, registeredAt: 1, validSince: -Infinity },
      waitForCurrentCache: () => Promise.resolve(),
      peers: {
        reachablePeerWithStore: () => null,
        incarnationWithStore: (node) => (node === 'n1' ? 'b' : null),
        peerReceivingHeartbeats: () => null,
        shardWithFreeCapacity: () => this.shardWithFreeCapacity,
        lessAllocatedShard: () => this.lessAllocatedShard,
        imagesOf: () => new Map(),
        cancellationsKnownUntil: () => this.cancellationsKnownUntil,
      },
      fencingRejections: silentRejections(),
      machineTypes: () => new Map([['m', machineType()]]),
      startObjectives: () => [],
      now: () => this.now,
      timeOfDay: () => 0,
      log: pino({ level: 'silent' }),
    });
    const group = { ...machine('x', { shard: 1, term: TERM }), machines: new Map([['x', true]]) };
    this.cache.apply({
      isListing: true,
      revision: 20,
      consistentFrom: 20,
      changes: [
        watchChange('term', TERM, 10),
        watchChange('parts/0', { owner: 'n0', incarnation: 'a', term: 4 }, 9),
        watchChange('parts/1', SHARD_1, 10),
        watchChange('nodes/n0/a', { incarnation: 'a' }, 2),
        watchChange('nodes/n1/b', { incarnation: 'b' }, 11),
        watchChange('machines/g', encodeMachineGroup(group), 12),
        jobChange(job({}, TERM, 1), 13),
      ],
    });
    this.tick();
  }

  #read(key: string) {
    if (this.stored !== null) return this.stored;
    const item = this.cache.tables.activeJobs.get(key.slice('active/'.length));
    if (item === undefined) return { missing: true as const, storeRevision: 0 };
    return { key, value: encodeJob(item.value), revision: item.revision };
  }

  #write(writes: readonly Write[]): Promise<CompareAndSwapResult> {
    this.written.push([...writes]);
    const result = this.outcome(writes);
    return result instanceof StoreRequestError ? Promise.reject(result) : Promise.resolve(result);
  }

  tick(): void {
    this.controller.tick();
  }

  /** A round at that time, and what it sent to the store. */
  async tickAt(now: number): Promise<void> {
    this.now = now;
    this.tick();
    await flushStoreCalls();
  }

  /** The watch shows nothing new up to a revision, or some changes. */
  showChanges(revision: number, changes: readonly ReturnType<typeof watchChange>[] = []): void {
    this.cache.apply({ isListing: false, revision, changes: [...changes] });
  }

  /** The round in which shard 1 fails back to its preferred node. */
  failback(): Promise<void> {
    return this.tickAt(FAILBACK_DELAY_MS);
  }

  owned(index: number): OwnedShard | undefined {
    return this.controller.owned.get(index);
  }

  /** The term of a shard by what the cache shows. */
  termOf(index: number): number | undefined {
    return this.cache.tables.shards.get(String(index))?.value.term;
  }

  /** The ranges of the job by what the cache shows. */
  ranges(): readonly TaskRange[] | undefined {
    return this.cache.tables.activeJobs.get(JOB)?.value.ranges;
  }

  /** The next heartbeat of machine x, which has seen the shard's term. */
  heartbeat(over: Partial<Heartbeat> = {}) {
    this.#counter += 1;
    return this.controller.handleHeartbeat({
      machine: 'x',
      address: 'a:1',
      type: 'm',
      zone: 'z',
      spot: false,
      agentEpoch: 1,
      counter: this.#counter,
      fencingToken: TERM,
      preemptionNoticeS: null,
      tasks: [],
      ...over,
    });
  }
}
