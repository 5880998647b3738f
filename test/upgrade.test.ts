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

/**
 * Two versions side by side. The fixtures were written by the version in production, whose commit they
 * name (`production` in deploy/service.toml); the contract below is a copy of what that version reads.
 */
const fixture = (name: string) =>
  readFileSync(new URL(`../../../test/fixtures/${name}`, import.meta.url), 'utf8');
const OLD = JSON.parse(fixture('production/values.json')) as {
  commit: string;
  values: Record<string, unknown>;
  frame: string;
  status: PeerStatus;
};

const int = z.number().int().nonnegative();
const resources = z.strictObject({ cpus: z.number(), gpus: z.number(), memoryGb: z.number() });
const CONTRACT: Record<string, z.ZodType> = {
  'active/': z.strictObject({
    spec: z.strictObject({
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
    }),
    at: z.number(),
    ranges: z.array(z.tuple([int, int, int, int])),
  }),
  'done/': z.record(z.string(), z.string().regex(/^[0-9a-f]*$/)),
  'machines/': z.strictObject({
    part: int,
    era: int,
    type: z.string(),
    zone: z.string(),
    spot: z.boolean(),
    hosts: z.record(z.string(), int),
  }),
  'parts/': z.strictObject({ owner: z.string(), incarnation: z.string(), term: int }),
  'nodes/': z.strictObject({ incarnation: z.string() }),
  'hires/': z.strictObject({ type: z.string(), zone: z.string(), spot: z.boolean(), count: int }),
  term: int,
};

test('the fixtures are those of the version that the deploy file names', () => {
  const deploy = readFileSync(new URL('../../../deploy/service.toml', import.meta.url), 'utf8');
  assert.equal(/^production = "([0-9a-f]{40})"$/m.exec(deploy)?.[1], OLD.commit);
});

test('every value of the old version is read, and written again just as it was', () => {
  let seen = 0;
  for (const [key, value] of Object.entries(OLD.values)) {
    if (key.startsWith('final/')) {
      assert.deepEqual(decodeFinalState(value), value, key);
      assert.deepEqual(encodeFinalState(decodeFinalState(value)), value, key);
      continue;
    }
    const prefix = cachedPrefixOf(key);
    assert.ok(prefix !== null, key);
    const id = key.slice(prefix.length);
    const known = decoders[prefix](id, value);
    seen += 1;
    if (prefix === 'active/') assert.deepEqual(encodeJob(decodeJob(id, value)), value, key);
    if (prefix === 'machines/') assert.deepEqual(encodeMachineGroup(known as never), value, key);
    if (prefix === 'done/') assert.deepEqual(encodeCompletions(known as never), value, key);
    if (prefix === 'parts/') assert.deepEqual(encodeShard(known as never), value, key);
    if (prefix === 'hires/') assert.deepEqual(encodeRental(known as never), value, key);
    if (prefix === 'term') assert.deepEqual(encodeTerm(known as never), value, key);
    CONTRACT[prefix]!.parse(value);
  }
  assert.ok(seen >= 9);
});

test('what the new version writes of jobs keeps to what the old one reads: table', () => {
  const base = decodeJob('job-000001', OLD.values['active/job-000001']);
  const cases: [string, JobRecord][] = [
    ['a service', { ...base, spec: { ...base.spec, kind: 'service', estimateS: 0 } }],
    ['many ranges', { ...base, ranges: base.ranges.flatMap((r) => [r, { ...r, shard: 1 }]) }],
    ['nothing optional', { ...base, spec: { ...base.spec, types: null, deadlineS: null } }],
  ];
  for (const [name, record] of cases) {
    const result = CONTRACT['active/']!.safeParse(JSON.parse(JSON.stringify(encodeJob(record))));
    assert.ok(result.success, name);
  }
});

/** Fields of the nodes' messages that have other names now; on the wire they are numbers. */
const PRESENT_NAMES: Readonly<Record<string, string>> = {
  hasState: 'hasStore',
  parts: 'shards',
  part: 'shard',
  rooms: 'freeCapacity',
  rank: 'minimumRank',
  busy: 'activeTasks',
  sightings: 'observedWorkers',
};

/** A recorded message with the same values under the present names. */
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

test('messages between nodes: the old one is read whole, the new one by the old definition', async () => {
  const got: unknown[] = [];
  const bytes = Buffer.from(OLD.frame, 'hex');
  for await (const s of Readable.from([bytes]).pipe(new StatusDecoder())) got.push(s);
  const present = underPresentNames(OLD.status);
  assert.deepEqual(got, [present]);
  const frames: Buffer[] = [];
  for await (const b of Readable.from([present]).pipe(new StatusEncoder())) {
    frames.push(b as Buffer);
  }
  const Old = protobuf.parse(fixture('production/peers.proto')).root.lookupType('sumacstep.Status');
  const message = Old.decodeDelimited(Buffer.concat(frames));
  const options = { arrays: true, defaults: true, longs: Number };
  assert.deepEqual(Old.toObject(message, options), OLD.status);
});

/** The type of the statuses that the version in production uses, by the schema file that its own search finds. */
const statusTypeOfProduction = async (): Promise<protobuf.Type> => {
  const original = protobuf.parse;
  const roots: protobuf.Root[] = [];
  protobuf.parse = ((source: string) => {
    const parsed = original(source);
    roots.push(parsed.root);
    return parsed;
  }) as typeof protobuf.parse;
  try {
    await import(installProduction().href);
  } finally {
    protobuf.parse = original;
  }
  assert.equal(roots.length, 1, 'the version in production parses one schema');
  return roots[0]!.lookupType('sumacstep.Status');
};

// It takes the first `peers.proto` of several folders. Under another version's schema the lists of a status have
// other names: it reads undefined and its process ends.
test('the version in production, installed inside this repository, reads statuses of the present version by its own names', async () => {
  const frames: Buffer[] = [];
  for await (const frame of Readable.from([underPresentNames(OLD.status)]).pipe(
    new StatusEncoder(),
  )) {
    frames.push(frame as Buffer);
  }
  const status = await statusTypeOfProduction();
  const message = status.decodeDelimited(Buffer.concat(frames));
  const read = status.toObject(message, { arrays: true, defaults: true, longs: Number });
  assert.deepEqual(read, OLD.status);
});

test('an owner of either version goes on with what the other recorded', () => {
  const cache = new WatchCache();
  const changes = Object.entries(OLD.values).map(([key, value], i) => ({
    key,
    value,
    revision: i + 1,
    removed: false,
  }));
  cache.apply({ isListing: true, revision: 50, consistentFrom: 50, changes });
  const store = new Store();
  for (const { value } of cache.tables.activeJobs.values()) store.add(value);
  for (const { value } of cache.machines.values()) store.add({ ...value, shard: 0 });
  const bits = cache.completedTasks(0, 'job-000001', 0);
  assert.ok(bits !== undefined);
  store.doneBitmaps.set('job-000001/0', bits);
  // The shard was the old version's; what it may have started waits for its machines' answers.
  const shard = shardWith(store, 12);
  const job = shard.jobs.get('job-000001')!;
  assert.equal(job.savedCompletions.size, 7);
  assert.equal(job.waitingTasks.length, 9);
  assert.equal(shard.recovered, false);
  shard.placeAll(0);
  assert.equal(job.placements.size, 0);
  const world = new World();
  const w = new FakeWorker('vm-000001', world, 1000, 18_000, 0);
  w.onHeartbeatAnswer(
    5,
    [{ op: 'start', uid: 'job-000001', index: 6, attempt: 5 * 2 ** 23 }],
    0,
    1,
  );
  for (let now = 0; now < 2000; now += 500) {
    const r = w.heartbeat();
    const result = shard.handleHeartbeat(r, now, true);
    if (result.kind === 'answer') w.onHeartbeatAnswer(shard.term, result.commands, now, 1);
  }
  assert.equal(shard.recovered, true);
  assert.equal(job.placements.get(6)?.attempt, 5 * 2 ** 23, "the old owner's task goes on");
  assert.deepEqual(world.violations, []);
});
