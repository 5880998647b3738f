import { Authorization, fencingToken, FencingRejections } from '@sumacstep/leader-election';
import pino from 'pino';
import type { JobRecord, JobSpec, MachineRecord, MachineType, Team } from '../src/core/model.js';
import { Shard, type ShardSettings } from '../src/core/shard/shard.js';
import { OwnedShard } from '../src/shards/owned-shard.js';

export const machineType = (over: Partial<MachineType> = {}): MachineType => ({
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
  ...over,
});

export const spec = (over: Partial<JobSpec> = {}): JobSpec => ({
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
  ...over,
});

export const job = (over: Partial<JobSpec> = {}, term = 1, shard = 0): JobRecord => {
  const s = spec(over);
  return { spec: s, at: 0, ranges: [{ from: 0, to: s.tasks, shard, term }] };
};

export const machine = (name: string, over: Partial<MachineRecord> = {}): MachineRecord => ({
  name,
  shard: 0,
  term: 1,
  type: 'm',
  zone: 'z',
  spot: false,
  up: true,
  ...over,
});

export const LEASE_MS = 18_000;

export const settings = (over: Partial<ShardSettings> = {}): ShardSettings => ({
  heartbeatIntervalMs: 3000,
  leaseMs: LEASE_MS,
  cancelMs: 38_000,
  teams: new Map<string, Team>([
    ['t', { name: 't', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }],
    ['limited', { name: 'limited', cpus: 0, gpus: 0, cpusMax: 8, gpusMax: 0 }],
    ['owed', { name: 'owed', cpus: 8, gpus: 2, cpusMax: 0, gpusMax: 0 }],
  ]),
  types: new Map([['m', machineType()]]),
  preempt: true,
  startObjectives: () => [],
  imagesOf: () => new Map(),
  ...over,
});

/** The store's records as a shard sees them. */
export class Store {
  readonly jobs = new Map<string, { value: JobRecord }>();
  /** bitmaps by `<uid>/<first task>` */
  readonly doneBitmaps = new Map<string, string>();
  readonly machines = new Map<string, { value: MachineRecord }>();

  done(uid: string, from: number): string | undefined {
    return this.doneBitmaps.get(`${uid}/${from}`);
  }

  add(...records: (JobRecord | MachineRecord)[]): this {
    for (const r of records) {
      if ('spec' in r) this.jobs.set(r.spec.uid, { value: r });
      else this.machines.set(r.name, { value: r });
    }
    return this;
  }
}

export const shardWith = (
  store: Store,
  term = 1,
  over: Partial<ShardSettings> = {},
  now = 0,
): Shard => {
  const shard = new Shard(0, term, settings(over));
  shard.sync(store, now);
  return shard;
};

/** The platform's file, as small as it may be. */
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

/** Counts refusals, and logs nowhere. */
export const silentRejections = (): FencingRejections =>
  new FencingRejections(() => Promise.resolve(null), pino({ level: 'silent' }));

/** The right to act under a token, as long as `holds` says. */
export const authorization = (
  duty: string,
  token: number,
  revision: number,
  holds: () => boolean = () => true,
): Authorization => {
  const condition = { key: duty, revision };
  return new Authorization(
    { role: duty, fencingToken: fencingToken(token), guard: condition, isCurrent: holds },
    silentRejections(),
  );
};

/** A shard as its controller holds it, whose record has revision 1. */
export const ownedShard = (shard: Shard): OwnedShard =>
  new OwnedShard(shard, authorization(`parts/${shard.index}`, shard.term, 1), 0);
