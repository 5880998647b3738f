import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod';
import type { Objective, Team } from '../core/model.js';

/** A problem with a settings file, ready to be shown: one line for each key. */
export class ConfigError extends Error {
  constructor(
    readonly file: string,
    readonly problems: readonly string[],
  ) {
    super(`${file}: ${problems.join('; ')}`);
  }
}

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT');
const positive = z.number().positive();
const notNegative = z.number().nonnegative();

const schema = z.object({
  node: z.string().min(1),
  site: z.string().min(1),
  serve_on: address,
  peer_bind: address,
  known: z
    .array(z.object({ node: z.string().min(1), site: z.string(), endpoint: address }))
    .default([]),
  services: z.object({ cloud: address, state: address }),
  settings: z.object({
    nodes: z.number().int().positive(),
    zones: z.array(z.string()).min(1),
    time_bound_ms: notNegative.default(0),
    teams: z
      .array(
        z.object({
          name: z.string().min(1),
          cpus: notNegative.default(0),
          cpus_max: notNegative.default(0),
          gpus: notNegative.default(0),
          gpus_max: notNegative.default(0),
        }),
      )
      .default([]),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: notNegative.optional(),
          share: notNegative.optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: z.number().int().positive(),
      next: z
        .object({
          rps: positive.optional(),
          write_rps: positive.optional(),
          value_kb: positive.optional(),
          txn_ops: z.number().int().positive().optional(),
        })
        .optional(),
    }),
    cloud: z.object({ rps: positive, list_lag_s: notNegative }),
    quota: z.object({ cores: positive, memory_mb: positive, max_sockets: positive }),
  }),
});

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
  readonly workers: {
    readonly heartbeatIntervalS: number;
    readonly leaseS: number;
    readonly gangWaitS: number;
    readonly gangPeerS: number;
    readonly cancelS: number;
  };
  readonly storeLimits: {
    readonly rps: number;
    readonly writeRps: number;
    /** sizes are the smaller ones of now and of `next`: nothing tells when those come */
    readonly valueBytes: number;
    readonly transactionOps: number;
    /** rates from some unannounced moment on; as now if nothing is announced */
    readonly next: { readonly rps: number; readonly writeRps: number };
  };
  readonly cloudLimits: { readonly rps: number; readonly listLagS: number };
  readonly sockets: number;
}

export const describe = (error: z.ZodError): string[] =>
  error.issues.map((i) => `${i.path.map(String).join('.') || '(file)'}: ${i.message}`);

export const parsePlatform = (file: string, text: string): PlatformConfig => {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new ConfigError(file, [`not TOML: ${(error as Error).message.split('\n')[0]}`]);
  }
  const result = schema.safeParse(raw);
  if (!result.success) throw new ConfigError(file, describe(result.error));
  const c = result.data;
  const s = c.settings;
  const names = new Set([c.node, ...c.known.map((k) => k.node)]);
  if (names.size !== c.known.length + 1) {
    throw new ConfigError(file, ['known: two nodes have the same name']);
  }
  return {
    node: c.node,
    zone: c.site,
    listen: c.serve_on,
    peerListen: c.peer_bind,
    peers: c.known.map((k) => ({ node: k.node, address: k.endpoint })),
    cloud: c.services.cloud,
    store: c.services.state,
    nodes: s.nodes,
    zones: s.zones,
    teams: new Map(
      s.teams.map((t) => [
        t.name,
        { name: t.name, cpus: t.cpus, gpus: t.gpus, cpusMax: t.cpus_max, gpusMax: t.gpus_max },
      ]),
    ),
    objectives: s.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class ?? null,
      withinS: o.within_s ?? 0,
      share: o.share ?? 0,
    })),
    workers: {
      heartbeatIntervalS: s.workers.report_s,
      leaseS: s.workers.lease_s,
      gangWaitS: s.workers.gang_wait_s,
      gangPeerS: s.workers.gang_peer_s,
      cancelS: s.workers.cancel_s,
    },
    storeLimits: {
      rps: s.state.rps,
      writeRps: s.state.write_rps,
      valueBytes: Math.min(s.state.value_kb, s.state.next?.value_kb ?? Infinity) * 1024,
      transactionOps: Math.min(s.state.txn_ops, s.state.next?.txn_ops ?? Infinity),
      next: {
        rps: Math.min(s.state.rps, s.state.next?.rps ?? Infinity),
        writeRps: Math.min(s.state.write_rps, s.state.next?.write_rps ?? Infinity),
      },
    },
    cloudLimits: { rps: s.cloud.rps, listLagS: s.cloud.list_lag_s },
    sockets: s.quota.max_sockets,
  };
};

export const readText = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new ConfigError(file, [(error as Error).message]);
  }
};

export const loadPlatform = (file: string): PlatformConfig => parsePlatform(file, readText(file));
