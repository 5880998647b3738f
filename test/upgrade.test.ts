/**
 * Compatibility of the present version with the version in production: values that one version writes, and messages
 * that it sends, are read by the other one. The fixtures were written by the version in production, whose commit they
 * name (`production` in deploy/service.toml).
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import protobuf from 'protobufjs';
import * as z from 'zod';
import type { JobRecord } from '../src/core/model.js';
import { StatusDecoder, StatusEncoder, type PeerStatus } from '../src/peers/frames.js';
import { decodeJob, encodeJob } from '../src/store/codecs/job.js';
import { decodeFinalState, encodeFinalState } from '../src/store/codecs/final-state.js';
import { encodeRental } from '../src/store/codecs/rental.js';
import { encodeShard } from '../src/store/codecs/shard.js';
import { encodeTerm } from '../src/store/codecs/term.js';
import { decoders } from '../src/store/codecs/cached-values.js';
import { encodeCompletions } from '../src/store/codecs/completions.js';
import { encodeMachineGroup } from '../src/store/codecs/machine-group.js';
import { cachedPrefixOf } from '../src/store/keys.js';
import { WatchCache } from '../src/store/watch-cache.js';
import { shardWith, Store } from './helpers.js';
import { installProduction } from './standins/production-installation.js';
import { FakeWorker, World } from './standins/worker.js';

const fixture = (name: string) =>
  readFileSync(new URL(`../../../test/fixtures/${name}`, import.meta.url), 'utf8');
const RECORDED = JSON.parse(fixture('production/values.json')) as {
  commit: string;
  values: Record<string, unknown>;
  frame: string;
  status: PeerStatus;
};

const nonNegativeInt = z.number().int().nonnegative();
const resourcesSchema = z.strictObject({
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
});
/** Copy of the schemas by which the version in production reads values, by key prefix. */
const PRODUCTION_SCHEMAS: Record<string, z.ZodType> = {
  'active/': z.strictObject({
    spec: z.strictObject({
      jobClass: z.string(),
      team: z.string(),
      kind: z.enum(['array', 'gang', 'service']),
      priority: z.enum(['production', 'high', 'normal', 'low']),
      tasks: nonNegativeInt,
      demand: resourcesSchema,
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
    }),
    at: z.number(),
    ranges: z.array(z.tuple([nonNegativeInt, nonNegativeInt, nonNegativeInt, nonNegativeInt])),
  }),
  'done/': z.record(z.string(), z.string().regex(/^[0-9a-f]*$/)),
  'machines/': z.strictObject({
    part: nonNegativeInt,
    era: nonNegativeInt,
    type: z.string(),
    zone: z.string(),
    spot: z.boolean(),
    hosts: z.record(z.string(), nonNegativeInt),
  }),
  'parts/': z.strictObject({ owner: z.string(), incarnation: z.string(), term: nonNegativeInt }),
  'nodes/': z.strictObject({ incarnation: z.string() }),
  'hires/': z.strictObject({
    type: z.string(),
    zone: z.string(),
    spot: z.boolean(),
    count: nonNegativeInt,
  }),
  term: nonNegativeInt,
};

test('the fixtures were written by the version that the deploy file names', () => {
  const deploy = readFileSync(new URL('../../../deploy/service.toml', import.meta.url), 'utf8');
  assert.equal(/^production = "([0-9a-f]{40})"$/m.exec(deploy)?.[1], RECORDED.commit);
});

test('every value of the version in production is decoded, and encoded again unchanged', () => {
  let decodedCount = 0;
  for (const [key, value] of Object.entries(RECORDED.values)) {
    if (key.startsWith('final/')) {
      assert.deepEqual(decodeFinalState(value), value, key);
      assert.deepEqual(encodeFinalState(decodeFinalState(value)), value, key);
      continue;
    }
    const prefix = cachedPrefixOf(key);
    assert.ok(prefix !== null, key);
    const id = key.slice(prefix.length);
    const decoded = decoders[prefix](id, value);
    decodedCount += 1;
    if (prefix === 'active/') assert.deepEqual(encodeJob(decodeJob(id, value)), value, key);
    if (prefix === 'machines/') assert.deepEqual(encodeMachineGroup(decoded as never), value, key);
    if (prefix === 'done/') assert.deepEqual(encodeCompletions(decoded as never), value, key);
    if (prefix === 'parts/') assert.deepEqual(encodeShard(decoded as never), value, key);
    if (prefix === 'hires/') assert.deepEqual(encodeRental(decoded as never), value, key);
    if (prefix === 'term') assert.deepEqual(encodeTerm(decoded as never), value, key);
    PRODUCTION_SCHEMAS[prefix]!.parse(value);
  }
  assert.ok(decodedCount >= 9);
});

test('job records of the present version conform to the schema of the version in production (table)', () => {
  const base = decodeJob('job-000001', RECORDED.values['active/job-000001']);
  const cases: [string, JobRecord][] = [
    ['a service', { ...base, spec: { ...base.spec, kind: 'service', estimateS: 0 } }],
    ['many ranges', { ...base, ranges: base.ranges.flatMap((r) => [r, { ...r, shard: 1 }]) }],
    ['nothing optional', { ...base, spec: { ...base.spec, types: null, deadlineS: null } }],
  ];
  for (const [name, record] of cases) {
    const result = PRODUCTION_SCHEMAS['active/']!.safeParse(
      JSON.parse(JSON.stringify(encodeJob(record))),
    );
    assert.ok(result.success, name);
  }
});

/**
 * Present names of fields of messages between nodes, by their names in the version in production. On the wire fields
 * are numbers.
 */
const PRESENT_NAMES: Readonly<Record<string, string>> = {
  hasState: 'hasStore',
  parts: 'shards',
  part: 'shard',
  rooms: 'freeCapacity',
  rank: 'minimumRank',
  busy: 'activeTasks',
  sightings: 'observedWorkers',
};

/** Returns a recorded message with the same values under the present names. */
const underPresentNames = (recorded: unknown): unknown => {
  if (Array.isArray(recorded)) return recorded.map(underPresentNames);
  if (typeof recorded !== 'object' || recorded === null) return recorded;
  return Object.fromEntries(
    Object.entries(recorded).map(([name, value]) => [
      PRESENT_NAMES[name] ?? name,
      underPresentNames(value),
    ]),
  );
};

test('messages between nodes: each version decodes all fields of messages of the other', async () => {
  const decoded: unknown[] = [];
  const bytes = Buffer.from(RECORDED.frame, 'hex');
  for await (const status of Readable.from([bytes]).pipe(new StatusDecoder())) decoded.push(status);
  const present = underPresentNames(RECORDED.status);
  assert.deepEqual(decoded, [present]);
  const frames: Buffer[] = [];
  for await (const frame of Readable.from([present]).pipe(new StatusEncoder())) {
    frames.push(frame as Buffer);
  }
  const productionStatus = protobuf
    .parse(fixture('production/peers.proto'))
    .root.lookupType('sumacstep.Status');
  const message = productionStatus.decodeDelimited(Buffer.concat(frames));
  const options = { arrays: true, defaults: true, longs: Number };
  assert.deepEqual(productionStatus.toObject(message, options), RECORDED.status);
});

/** Returns the status message type that the version in production uses, from the schema file that its search finds. */
const statusTypeOfProduction = async (): Promise<protobuf.Type> => {
  const originalParse = protobuf.parse;
  const roots: protobuf.Root[] = [];
  protobuf.parse = ((source: string) => {
    const parsed = originalParse(source);
    roots.push(parsed.root);
    return parsed;
  }) as typeof protobuf.parse;
  try {
    await import(installProduction().href);
  } finally {
    protobuf.parse = originalParse;
  }
  assert.equal(roots.length, 1, 'the version in production parses one schema');
  return roots[0]!.lookupType('sumacstep.Status');
};

// The version in production takes the first `peers.proto` that it finds in several folders. Under the schema of another
// version the lists of a status have other names: it reads undefined, and its process ends.
test('the version in production, installed inside this repository, decodes statuses of the present version by its own schema', async () => {
  const frames: Buffer[] = [];
  for await (const frame of Readable.from([underPresentNames(RECORDED.status)]).pipe(
    new StatusEncoder(),
  )) {
    frames.push(frame as Buffer);
  }
  const status = await statusTypeOfProduction();
  const message = status.decodeDelimited(Buffer.concat(frames));
  const read = status.toObject(message, { arrays: true, defaults: true, longs: Number });
  assert.deepEqual(read, RECORDED.status);
});

test('an owner of the present version continues from the records of the version in production', () => {
  const cache = new WatchCache();
  const changes = Object.entries(RECORDED.values).map(([key, value], index) => ({
    key,
    value,
    revision: index + 1,
    removed: false,
  }));
  cache.apply({ isListing: true, revision: 50, consistentFrom: 50, changes });
  const store = new Store();
  for (const { value } of cache.tables.activeJobs.values()) store.add(value);
  for (const { value } of cache.machines.values()) store.add({ ...value, shard: 0 });
  const completedTasks = cache.completedTasks(0, 'job-000001', 0);
  assert.ok(completedTasks !== undefined);
  store.doneBitmaps.set('job-000001/0', completedTasks);
  // The previous owner had the version in production; tasks that it may have started wait for reports of the machines.
  const shard = shardWith(store, 12);
  const job = shard.jobs.get('job-000001')!;
  assert.equal(job.savedCompletions.size, 7);
  assert.equal(job.waitingTasks.size, 9);
  assert.equal(shard.recovered, false);
  shard.placeAll(0);
  assert.equal(job.placements.size, 0);
  const world = new World();
  const worker = new FakeWorker('vm-000001', world, 1000, 18_000, 0);
  worker.onHeartbeatAnswer(
    5,
    [{ op: 'start', uid: 'job-000001', index: 6, attempt: 5 * 2 ** 23 }],
    0,
    1,
  );
  for (let now = 0; now < 2000; now += 500) {
    const heartbeat = worker.heartbeat();
    const result = shard.handleHeartbeat(heartbeat, now, true);
    if (result.kind === 'answer')
      worker.onHeartbeatAnswer(result.fencingToken, result.commands, now, 1);
  }
  assert.equal(shard.recovered, true);
  assert.equal(job.placements.get(6)?.attempt, 5 * 2 ** 23, "the previous owner's task goes on");
  assert.deepEqual(world.violations, []);
});
