/** Factories for records, settings and shards that several tests share. */
import { Authorization, fencingToken, FencingRejections } from '@sumacstep/leader-election';
import pino from 'pino';
import type { CapacityInput } from '../src/core/capacity/capacity-planner.js';
import type { JobRecord, JobSpec, MachineRecord, MachineType, Team } from '../src/core/model.js';
import { TOKENS_PER_TERM } from '../src/core/ownership/constants.js';
import { Shard, type ShardSettings } from '../src/core/shard/shard.js';
import type { TokenRange } from '../src/core/shard/start-fencing.js';
import { OwnedShard } from '../src/shards/owned-shard.js';

export const machineType = (overrides: Partial<MachineType> = {}): MachineType => ({
  name: 'm',
  cpus: 8,
  gpus: 2,
  memoryGb: 64,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 4,
  spotPrice: 1,
  bootS: 50,
  zones: ['z', 'y'],
  ...overrides,
});

export const spec = (overrides: Partial<JobSpec> = {}): JobSpec => ({
  uid: 'job-000001',
  jobClass: 'c',
  team: 't',
  kind: 'array',
  priority: 'normal',
  tasks: 1,
  demand: { cpus: 4, gpus: 1, memoryGb: 8 },
  image: 'i',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...overrides,
});

export const job = (overrides: Partial<JobSpec> = {}, term = 1, shard = 0): JobRecord => {
  const jobSpec = spec(overrides);
  return { spec: jobSpec, at: 0, ranges: [{ from: 0, to: jobSpec.tasks, shard, term }] };
};

export const machine = (name: string, overrides: Partial<MachineRecord> = {}): MachineRecord => ({
  name,
  shard: 0,
  term: 1,
  type: 'm',
  zone: 'z',
  spot: false,
  up: true,
  ...overrides,
});

export const LEASE_MS = 18_000;

export const settings = (overrides: Partial<ShardSettings> = {}): ShardSettings => ({
  heartbeatIntervalMs: 3000,
  leaseMs: LEASE_MS,
  cancelMs: 38_000,
  teams: new Map<string, Team>([
    ['t', { name: 't', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }],
    ['limited', { name: 'limited', cpus: 0, gpus: 0, cpusMax: 8, gpusMax: 0 }],
    ['guaranteed', { name: 'guaranteed', cpus: 8, gpus: 2, cpusMax: 0, gpusMax: 0 }],
  ]),
  types: new Map([['m', machineType()]]),
  preempt: true,
  startObjectives: () => [],
  imagesOf: () => new Map(),
  ...overrides,
});

/** In-memory records of the store, as they are passed to `Shard.sync`. */
export class Store {
  readonly jobs = new Map<string, { value: JobRecord }>();
  /** bitmaps of completed tasks by `<uid>/<first task of the range>` */
  readonly doneBitmaps = new Map<string, string>();
  readonly machines = new Map<string, { value: MachineRecord }>();

  done(uid: string, from: number): string | undefined {
    return this.doneBitmaps.get(`${uid}/${from}`);
  }

  add(...records: (JobRecord | MachineRecord)[]): this {
    for (const record of records) {
      if ('spec' in record) this.jobs.set(record.spec.uid, { value: record });
      else this.machines.set(record.name, { value: record });
    }
    return this;
  }
}

/** Returns the fencing tokens that a change of ownership reserves from `term` on. */
export const tokensOf = (term: number): TokenRange => ({
  first: term,
  last: term + TOKENS_PER_TERM - 1,
});

export const shardWith = (
  store: Store,
  term = 1,
  overrides: Partial<ShardSettings> = {},
  now = 0,
): Shard => {
  const shard = new Shard(0, tokensOf(term), settings(overrides));
  shard.sync(store, now);
  return shard;
};

/** Input of a capacity plan for a cluster of one shard, without objectives, statistics or pending rentals. */
export const capacityInput = (
  shard: Shard,
  now: number,
  overrides: Partial<CapacityInput> = {},
): CapacityInput => ({
  shard,
  shardCount: 1,
  types: new Map([['m', machineType()]]),
  zones: ['z', 'y'],
  objectives: [],
  classStats: new Map(),
  activeTasksElsewhere: new Map(),
  expectedJobs: [],
  pendingRentals: [],
  inBackoff: () => false,
  reserveSigma: 1,
  drainS: 45,
  idleKeepMs: 0,
  maxMachines: 100,
  now,
  ...overrides,
});

/** A platform file with only the required settings, and one unknown field. */
export const PLATFORM = `
node = "n-0"
site = "z"
serve_on = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
unknown_field = 1
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
nodes = 3
zones = ["z"]
[settings.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 38.0
[settings.state]
rps = 250.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 16
[settings.cloud]
rps = 4.0
list_lag_s = 6.0
[settings.quota]
cores = 0.5
memory_mb = 242.0
max_sockets = 1500
`;

/** Returns a counter of fencing rejections that neither reads the store nor logs. */
export const silentRejections = (): FencingRejections =>
  new FencingRejections(() => Promise.resolve(null), pino({ level: 'silent' }));

/** Returns the authorization of `duty` under a fencing token, which is current as long as `isCurrent` returns true. */
export const authorization = (
  duty: string,
  token: number,
  revision: number,
  isCurrent: () => boolean = () => true,
): Authorization => {
  const condition = { key: duty, revision };
  return new Authorization(
    { role: duty, fencingToken: fencingToken(token), guard: condition, isCurrent },
    silentRejections(),
  );
};

/** Wraps a shard as its controller does, with revision 1 of the shard's ownership record. */
export const ownedShard = (shard: Shard): OwnedShard =>
  new OwnedShard(shard, authorization(`parts/${shard.index}`, shard.term, 1), 0);
