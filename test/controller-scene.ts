/** A controller of shards with a scripted store, and helpers for its tests. */
import pino from 'pino';
import { parseOperatorConfig } from '../src/config/operator.js';
import type { PlatformConfig } from '../src/config/platform.js';
import { FAILBACK_DELAY_MS, TOKENS_PER_TERM } from '../src/core/ownership/constants.js';
import type { Heartbeat, JobRecord, MachineRecord, TaskRange } from '../src/core/model.js';
import type { OwnedShard } from '../src/shards/owned-shard.js';
import { ShardController } from '../src/shards/shard-controller.js';
import { encodeJob } from '../src/store/codecs/job.js';
import { encodeMachineGroup } from '../src/store/codecs/machine-group.js';
import { StoreRequestError } from '../src/store/errors.js';
import { type CompareAndSwapResult } from '@sumacstep/leader-election';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Write } from '@sumacstep/leader-election';
import { job, machine, machineType, settings, silentRejections } from './helpers.js';

/** Platform settings of node n0, whose only peer is n1. */
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

/** The term and the owner record of shard 1, and the term that the next change of ownership assigns. */
export const TERM = 5;
export const SHARD_1 = { owner: 'n0', incarnation: 'a', term: TERM, tokens: TOKENS_PER_TERM };
export const NEXT_TERM = TERM + TOKENS_PER_TERM;

type Outcome = CompareAndSwapResult | StoreRequestError;

/** Returns a change of a key as the watch shows it; an undefined value is a removal. */
export const watchChange = (key: string, value: unknown, revision: number) => ({
  key,
  value,
  revision,
  removed: value === undefined,
});

/** Returns the change of a job's record as the watch shows it. */
export const jobChange = (record: JobRecord, revision: number) =>
  watchChange(`active/${record.spec.uid}`, encodeJob(record), revision);

/** Returns the error of a call whose answer was lost. */
export const noAnswer = () => new StoreRequestError('no_response', 'lost');

/** Lets pending calls to the store return. */
export const flushStoreCalls = () => new Promise((resolve) => setImmediate(resolve));

/** What differs from the scene's defaults: the records of its job and machine, saved completions of shard 1, and more. */
export interface ControllerSceneOptions {
  readonly record?: JobRecord;
  readonly machineX?: Partial<MachineRecord>;
  readonly completions?: Readonly<Record<string, string>>;
  readonly storeLimits?: Partial<PlatformConfig['storeLimits']>;
  /** whether no other node is live, so that no shard fails back during the test */
  readonly isAlone?: boolean;
  readonly outcome?: ControllerScene['outcome'];
}

/**
 * A controller on node n0 that owns both shards. Shard 1, whose preferred node n1 is live again, has machine x and a
 * job, with one task unless a test sets another one. Calls to the store can be made to fail.
 */
export class ControllerScene {
  now = 0;
  leaseValid = true;
  cancellationsKnownUntil = Infinity;
  /** the result of a linearizable read of the job; null: the record that the cache shows */
  stored: { key: string; value: unknown; revision: number } | null = null;
  shardWithFreeCapacity: { shard: number; tasks: number } | null = null;
  lessAllocatedShard: number | null = null;
  /** returns the result of a compare-and-swap with these writes */
  outcome: (writes: readonly Write[]) => Outcome = () => ({ ok: true, epoch: 50 });
  readonly written: Write[][] = [];
  readonly cache = new WatchCache();
  readonly controller: ShardController;
  #counter = 0;

  constructor(options: ControllerSceneOptions = {}) {
    const { record = job({}, TERM, 1), storeLimits, completions = {}, isAlone = false } = options;
    this.outcome = options.outcome ?? this.outcome;
    this.controller = new ShardController({
      config: { ...CONFIG, storeLimits: { ...CONFIG.storeLimits, ...storeLimits } },
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
        shardWithFreeCapacity: (_spec, excluded, minimumTasks) => {
          const { shard = excluded, tasks = 0 } = this.shardWithFreeCapacity ?? {};
          return shard !== excluded && tasks >= minimumTasks ? { shard, tasks } : null;
        },
        lessAllocatedShard: (_spec, shard) =>
          this.lessAllocatedShard === shard ? null : this.lessAllocatedShard,
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
    const machineX = machine('x', { shard: 1, term: TERM, ...options.machineX });
    const group = { ...machineX, machines: new Map([['x', machineX.up]]) };
    this.cache.apply({
      isListing: true,
      revision: 20,
      consistentFrom: 20,
      changes: [
        watchChange('term', NEXT_TERM - 1, 10),
        watchChange('parts/0', { owner: 'n0', incarnation: 'a', term: 4 }, 9),
        watchChange('parts/1', SHARD_1, 10),
        watchChange('nodes/n0/a', { incarnation: 'a' }, 2),
        ...(isAlone ? [] : [watchChange('nodes/n1/b', { incarnation: 'b' }, 11)]),
        watchChange('done/1/0', completions, 11),
        watchChange('machines/g', encodeMachineGroup(group), 12),
        jobChange(record, 13),
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

  /** Runs one round of the controller. */
  tick(): void {
    this.controller.tick();
  }

  /** Runs a round at that time, and lets its calls to the store return. */
  async tickAt(now: number): Promise<void> {
    this.now = now;
    this.tick();
    await flushStoreCalls();
  }

  /** Lets the watch show the changes, if any, up to a revision. */
  showChanges(revision: number, changes: readonly ReturnType<typeof watchChange>[] = []): void {
    this.cache.apply({ isListing: false, revision, changes: [...changes] });
  }

  /** Runs the round in which shard 1 fails back to its preferred node. */
  failback(): Promise<void> {
    return this.tickAt(FAILBACK_DELAY_MS);
  }

  owned(index: number): OwnedShard | undefined {
    return this.controller.owned.get(index);
  }

  /** Returns the term of a shard according to the cache. */
  termOf(index: number): number | undefined {
    return this.cache.tables.shards.get(String(index))?.value.term;
  }

  /** Returns the ranges of the job according to the cache. */
  ranges(): readonly TaskRange[] | undefined {
    return this.cache.tables.activeJobs.get(JOB)?.value.ranges;
  }

  /** Sends the next heartbeat of machine x, which has seen the shard's term, and returns the response. */
  heartbeat(overrides: Partial<Heartbeat> = {}) {
    this.#counter += 1;
    return this.controller.handleHeartbeat({
      machine: 'x',
      address: '127.0.0.1:1',
      type: 'm',
      zone: 'z',
      spot: false,
      agentEpoch: 1,
      counter: this.#counter,
      fencingToken: TERM,
      preemptionNoticeS: null,
      tasks: [],
      ...overrides,
    });
  }
}
