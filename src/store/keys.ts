import * as z from 'zod';
import type { JobRecord, JobSpec, MachineRecord } from '../core/model.js';
import { decodeElectionEntry, type ElectionEntry } from './election-entries.js';
import { decodeRebalancingEntry, type RebalancingEntry } from './rebalancing-entries.js';

/** The machines of one rental that are in the same shard, in one value: they cost one write. */
export interface MachineGroup extends Omit<MachineRecord, 'name' | 'up'> {
  /** by name: whether the machine is recorded as up */
  readonly machines: ReadonlyMap<string, boolean>;
}
/** Bitmaps of completed tasks by `<uid>/<first task>`: many ranges of a shard in one value. */
export type CompletionBitmaps = ReadonlyMap<string, string>;

/** Names and values of everything that the service keeps in the state service. */

export const FINAL_STATE_PREFIX = 'final/';
export const CACHED_PREFIXES = [
  'parts/',
  'nodes/',
  'machines/',
  'hires/',
  'active/',
  'done/',
  'duties/',
  'shares/',
  'term',
] as const;
export type CachedPrefix = (typeof CACHED_PREFIXES)[number];

/** The cache's table of the values under each prefix. */
export const TABLE_OF_PREFIX = {
  'parts/': 'shards',
  'nodes/': 'nodes',
  'machines/': 'machineGroups',
  'hires/': 'rentals',
  'active/': 'activeJobs',
  'done/': 'completions',
  'duties/': 'elections',
  'shares/': 'moves',
  term: 'term',
} as const satisfies Record<CachedPrefix, string>;

export const prefixOf = (key: string): CachedPrefix | null =>
  CACHED_PREFIXES.find((p) => key.startsWith(p)) ?? null;

export const key = {
  shard: (index: number) => `parts/${index}`,
  node: (name: string, incarnation: string) => `nodes/${name}/${incarnation}`,
  machineGroup: (group: string) => `machines/${group}`,
  /** the group of a machine that no rental recorded */
  adoptedMachineGroup: (machine: string) => `machines/found-${machine}`,
  rental: (shard: number, name: string) => `hires/${shard}/${name}`,
  activeJob: (uid: string) => `active/${uid}`,
  finalState: (uid: string) => `${FINAL_STATE_PREFIX}${uid}`,
  completions: (shard: number, slot: number) => `done/${shard}/${slot}`,
  term: 'term',
  /** never written: a read of it tells the present epoch */
  probe: 'never',
} as const;

export interface ShardRecord {
  readonly owner: string;
  /** incarnation of the owner: a name alone would mix up a node and its restarted self */
  readonly incarnation: string;
  readonly term: number;
}
export interface NodeRecord {
  readonly node: string;
  readonly incarnation: string;
  /** whether this life takes part in exclusive duties; versions that don't know them say nothing */
  readonly supportsElection: boolean;
  /** whether this life takes part in moves of machines between shards */
  readonly supportsRebalancing: boolean;
}

/** Version of the duties that a node's record names. */
const DUTIES_VERSION = 1;

/** Version of the moves that a node's record names. */
const SHARES_VERSION = 1;

/** What a life of a node takes part in. */
export type NodeCapabilities = Pick<NodeRecord, 'supportsElection' | 'supportsRebalancing'>;

export const encodeNode = (incarnation: string, abilities: NodeCapabilities): unknown => ({
  incarnation,
  ...(abilities.supportsElection ? { duties: DUTIES_VERSION } : {}),
  ...(abilities.supportsRebalancing ? { shares: SHARES_VERSION } : {}),
});
export interface RentalRecord {
  readonly shard: number;
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}
export interface FinalState {
  readonly status: 'done' | 'cancelled';
  readonly tasks: number;
  readonly done: number;
}

const int = z.number().int().nonnegative();
const shard = z.object({ owner: z.string(), incarnation: z.string(), term: int });
const node = z.object({
  incarnation: z.string(),
  duties: z.number().nullish(),
  shares: z.number().nullish(),
});
const machine = z.object({
  part: int,
  era: int,
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  hosts: z.record(z.string(), z.number()),
});
const rental = z.object({ type: z.string(), zone: z.string(), spot: z.boolean(), count: int });
const final = z.object({ status: z.enum(['done', 'cancelled']), tasks: int, done: int });
const resources = z.object({ cpus: z.number(), gpus: z.number(), memoryGb: z.number() });
const spec = z.object({
  jobClass: z.string(),
  team: z.string(),
  kind: z.enum(['array', 'gang', 'service']),
  priority: z.enum(['production', 'high', 'normal', 'low']),
  tasks: int,
  demand: resources,
  image: z.string(),
  imageGb: z.number(),
  types: z.array(z.string()).nullable(),
  zone: z.string().nullable(),
  oneZone: z.boolean(),
  spread: z.boolean(),
  spot: z.boolean(),
  estimateS: z.number(),
  checkpointS: z.number(),
  saveS: z.number(),
  deadlineS: z.number().nullable(),
});
const active = z.object({
  spec,
  at: z.number(),
  ranges: z.array(z.tuple([int, int, int, int])),
});

export interface CachedValues {
  'active/': JobRecord;
  'done/': CompletionBitmaps;
  'machines/': MachineGroup;
  'parts/': ShardRecord;
  'nodes/': NodeRecord;
  'hires/': RentalRecord;
  'duties/': ElectionEntry;
  'shares/': RebalancingEntry;
  term: number;
}

export const decodeJob = (uid: string, value: unknown): JobRecord => {
  const a = active.parse(value);
  return {
    spec: { uid, ...a.spec } satisfies JobSpec,
    at: a.at,
    ranges: a.ranges.map(([from, to, shard, term]) => ({ from, to, shard, term })),
  };
};
export const encodeJob = (job: JobRecord): unknown => {
  // The key names the job already.
  const spec: Partial<JobSpec> = { ...job.spec };
  delete (spec as { uid?: string }).uid;
  return {
    spec,
    at: job.at,
    ranges: job.ranges.map((r) => [r.from, r.to, r.shard, r.term]),
  };
};
export const encodeMachineGroup = (g: MachineGroup): unknown => {
  const { shard, term, type, zone, spot, machines: hosts } = g;
  const up = Object.fromEntries([...hosts].map(([name, isUp]) => [name, Number(isUp)]));
  return { part: shard, era: term, type, zone, spot, hosts: up };
};
export const encodeCompletions = (slot: CompletionBitmaps): unknown => Object.fromEntries(slot);
/** The machines of a group one by one, as the core knows them. */
export const machinesOf = (g: MachineGroup): MachineRecord[] => {
  const { shard, term, type, zone, spot } = g;
  return [...g.machines].map(([name, up]) => ({ name, shard, term, type, zone, spot, up }));
};
export const decodeFinalState = (value: unknown): FinalState => final.parse(value);

export const decoders: { [P in CachedPrefix]: (id: string, value: unknown) => CachedValues[P] } = {
  'active/': decodeJob,
  'done/': (_, value) => new Map(Object.entries(z.record(z.string(), z.string()).parse(value))),
  'machines/': (_, value) => {
    const { part: shard, era: term, hosts, ...rest } = machine.parse(value);
    return {
      ...rest,
      shard,
      term,
      machines: new Map(Object.entries(hosts).map(([n, up]) => [n, up !== 0])),
    };
  },
  'parts/': (_, value) => shard.parse(value),
  'nodes/': (id, value) => {
    const { incarnation, duties, shares } = node.parse(value);
    const name = id.slice(0, id.lastIndexOf('/'));
    const knowsDuties = duties === DUTIES_VERSION;
    return {
      node: name,
      incarnation,
      supportsElection: knowsDuties,
      supportsRebalancing: shares === SHARES_VERSION,
    };
  },
  'hires/': (id, value) => {
    const slash = id.indexOf('/');
    return { shard: Number(id.slice(0, slash)), name: id.slice(slash + 1), ...rental.parse(value) };
  },
  'duties/': decodeElectionEntry,
  'shares/': decodeRebalancingEntry,
  term: (_, value) => int.parse(value),
};
