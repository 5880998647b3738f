/** The settings that the platform hands over (`--config`, TOML); its field names end here. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod';
import type { Objective, Team } from '../core/model.js';

/** A settings file is unusable; `problems` names every bad key, one line each. */
export class ConfigError extends Error {
  constructor(
    readonly file: string,
    readonly problems: readonly string[],
  ) {
    super(`${file}: ${problems.join('; ')}`);
  }
}

const BYTES_PER_KB = 1024;

const addressSchema = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT');
const positiveSchema = z.number().positive();
const nonNegativeSchema = z.number().nonnegative();

const schema = z.object({
  node: z.string().min(1),
  site: z.string().min(1),
  serve_on: addressSchema,
  peer_bind: addressSchema,
  known: z
    .array(z.object({ node: z.string().min(1), site: z.string(), endpoint: addressSchema }))
    .default([]),
  services: z.object({ cloud: addressSchema, state: addressSchema }),
  settings: z.object({
    nodes: z.number().int().positive(),
    zones: z.array(z.string()).min(1),
    time_bound_ms: nonNegativeSchema.default(0),
    teams: z
      .array(
        z.object({
          name: z.string().min(1),
          cpus: nonNegativeSchema.default(0),
          cpus_max: nonNegativeSchema.default(0),
          gpus: nonNegativeSchema.default(0),
          gpus_max: nonNegativeSchema.default(0),
        }),
      )
      .default([]),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: nonNegativeSchema.optional(),
          share: nonNegativeSchema.optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positiveSchema,
      lease_s: positiveSchema,
      gang_wait_s: positiveSchema,
      gang_peer_s: positiveSchema,
      cancel_s: positiveSchema,
    }),
    state: z.object({
      rps: positiveSchema,
      write_rps: positiveSchema,
      value_kb: positiveSchema,
      txn_ops: z.number().int().positive(),
      next: z
        .object({
          rps: positiveSchema.optional(),
          write_rps: positiveSchema.optional(),
          value_kb: positiveSchema.optional(),
          txn_ops: z.number().int().positive().optional(),
        })
        .optional(),
    }),
    cloud: z.object({ rps: positiveSchema, list_lag_s: nonNegativeSchema }),
    quota: z.object({
      cores: positiveSchema,
      memory_mb: positiveSchema,
      max_sockets: positiveSchema,
    }),
  }),
});

/** Timing that the platform prescribes for workers, in seconds. */
export interface WorkerTiming {
  readonly heartbeatIntervalS: number;
  /** a worker kills its tasks when its lease was not renewed for this long */
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  /** a confirmed cancellation takes effect within this */
  readonly cancelS: number;
}

/** Limits of the store, for all nodes together. */
export interface StoreServiceLimits {
  readonly rps: number;
  readonly writeRps: number;
  /** sizes are the smaller ones of now and of `next`: nothing tells when those come */
  readonly valueBytes: number;
  readonly transactionOps: number;
  /** rates from some unannounced moment on; as now if nothing is announced */
  readonly next: { readonly rps: number; readonly writeRps: number };
}

/** The platform's settings of one node. Addresses are `HOST:PORT`. */
export interface PlatformConfig {
  readonly node: string;
  readonly zone: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  readonly cloud: string;
  readonly store: string;
  /** number of nodes, and of shards */
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly Objective[];
  readonly workers: WorkerTiming;
  readonly storeLimits: StoreServiceLimits;
  readonly cloudLimits: { readonly rps: number; readonly listLagS: number };
  /** sockets that this process may use */
  readonly sockets: number;
}

/** The problems that a schema found, one line for each key. */
export const describeIssues = (error: z.ZodError): string[] =>
  error.issues.map((i) => `${i.path.map(String).join('.') || '(file)'}: ${i.message}`);

type PlatformFile = z.infer<typeof schema>;
type Settings = PlatformFile['settings'];

const toTeams = ({ teams }: Settings): ReadonlyMap<string, Team> =>
  new Map(
    teams.map(({ name, cpus, gpus, cpus_max, gpus_max }) => [
      name,
      { name, cpus, gpus, cpusMax: cpus_max, gpusMax: gpus_max },
    ]),
  );

const toObjectives = ({ objectives }: Settings): Objective[] =>
  objectives.map((objective) => ({
    kind: objective.kind,
    jobClass: objective.class ?? null,
    withinS: objective.within_s ?? 0,
    share: objective.share ?? 0,
  }));

const toWorkerTiming = ({ workers }: Settings): WorkerTiming => ({
  heartbeatIntervalS: workers.report_s,
  leaseS: workers.lease_s,
  gangWaitS: workers.gang_wait_s,
  gangPeerS: workers.gang_peer_s,
  cancelS: workers.cancel_s,
});

const toStoreLimits = ({ state }: Settings): StoreServiceLimits => ({
  rps: state.rps,
  writeRps: state.write_rps,
  valueBytes: Math.min(state.value_kb, state.next?.value_kb ?? Infinity) * BYTES_PER_KB,
  transactionOps: Math.min(state.txn_ops, state.next?.txn_ops ?? Infinity),
  next: {
    rps: Math.min(state.rps, state.next?.rps ?? Infinity),
    writeRps: Math.min(state.write_rps, state.next?.write_rps ?? Infinity),
  },
});

const toConfig = ({ settings, ...node }: PlatformFile): PlatformConfig => ({
  node: node.node,
  zone: node.site,
  listen: node.serve_on,
  peerListen: node.peer_bind,
  peers: node.known.map((peer) => ({ node: peer.node, address: peer.endpoint })),
  cloud: node.services.cloud,
  store: node.services.state,
  nodes: settings.nodes,
  zones: settings.zones,
  teams: toTeams(settings),
  objectives: toObjectives(settings),
  workers: toWorkerTiming(settings),
  storeLimits: toStoreLimits(settings),
  cloudLimits: { rps: settings.cloud.rps, listLagS: settings.cloud.list_lag_s },
  sockets: settings.quota.max_sockets,
});

/** Reads the settings from TOML text; throws a `ConfigError` that names every bad key. Unknown keys are ignored. */
export const parsePlatformConfig = (file: string, text: string): PlatformConfig => {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new ConfigError(file, [`not TOML: ${(error as Error).message.split('\n')[0]}`]);
  }
  const result = schema.safeParse(raw);
  if (!result.success) throw new ConfigError(file, describeIssues(result.error));
  const { node, known } = result.data;
  const names = new Set([node, ...known.map((peer) => peer.node)]);
  if (names.size !== known.length + 1) {
    throw new ConfigError(file, ['known: two nodes have the same name']);
  }
  return toConfig(result.data);
};

/** The text of a settings file; throws a `ConfigError` if it cannot be read. */
export const readConfigFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new ConfigError(file, [(error as Error).message]);
  }
};

/** Reads and checks the platform's file. */
export const loadPlatformConfig = (file: string): PlatformConfig =>
  parsePlatformConfig(file, readConfigFile(file));
