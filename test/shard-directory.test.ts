import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadIndex } from '../src/core/capacity/allocation-ratio.js';
import { PRIORITY_RANK } from '../src/core/model.js';
import type { PeerStatus } from '../src/peers/frames.js';
import { ShardDirectory } from '../src/peers/shard-directory.js';
import { job, machine, shardWith, spec, Store } from './helpers.js';

type ShardStatus = PeerStatus['shards'][number];
type JobStatus = PeerStatus['jobs'][number];

const RANKS = Object.keys(PRIORITY_RANK).length;

/** A shard of another node that is booked by `load` for everything. */
const told = (shard: number, load: number): ShardStatus => ({
  shard,
  loads: Array.from({ length: RANKS * 2 }, () => load),
  freeCapacity: [],
  waiting: Array.from({ length: RANKS }, () => 1),
  images: [],
  activeTasks: [],
});

const status = (node: string, shards: ShardStatus[], jobs: JobStatus[] = []): PeerStatus => ({
  ...{ node, incarnation: 'i', sentAt: 0, detailed: true, echoes: [] },
  ...{ cancellations: [], cancellationsComplete: true, hasStore: true, observedWorkers: [] },
  ...{ shards, jobs, classes: [] },
});

/** Shard 0 is this node's, with eight tasks waiting and room for two on its only machine. */
const directory = (peers: readonly PeerStatus[]) => {
  const shard = shardWith(new Store().add(machine('a'), job({ tasks: 8 })));
  const heard = () => peers;
  const shards = new Map([[0, { shard }]]);
  const out = new ShardDirectory(
    3,
    () => shards,
    { recent: heard, latest: heard, reachable: heard },
    () => 0,
  );
  out.describeShard(0, shard, false);
  return out;
};

test('tasks pass to a shard without room only if it is booked much less: table', () => {
  const own = shardWith(new Store().add(machine('a'), job({ tasks: 8 }))).allocationRatios(0);
  assert.equal(own[loadIndex(PRIORITY_RANK.normal, true)], 4, 'eight tasks, two at a time');
  const cases: [name: string, peers: PeerStatus[], want: number | null][] = [
    ['nothing is known of the others', [], null],
    ['much less', [status('n1', [told(1, 1)])], 1],
    ['the least of several', [status('n1', [told(1, 2)]), status('n2', [told(2, 1)])], 2],
    ['hardly less', [status('n1', [told(1, 3)])], null],
    ['more', [status('n1', [told(1, 9)])], null],
  ];
  for (const [name, peers, want] of cases) {
    assert.equal(directory(peers).lessAllocated(spec(), 0), want, name);
  }
});

test('progress of a job is the sum over the shards of other nodes', () => {
  const jobs = [
    { uid: 'job-000007', running: 2, done: 3, shard: 1 },
    { uid: 'job-000008', running: 1, done: 0, shard: 1 },
  ];
  const more = [
    { uid: 'job-000007', running: 1, done: 4, shard: 2 },
    { uid: 'job-000007', running: 9, done: 9, shard: 0 },
  ];
  const peers = [status('n1', [], jobs), status('n2', [], more)];
  const shards = directory(peers);
  assert.deepEqual(shards.progress('job-000007'), { done: 7, running: 3 }, 'not of our own part');
  assert.deepEqual(shards.progress('job-000008'), { done: 0, running: 1 });
  assert.deepEqual(shards.progress('job-000009'), { done: 0, running: 0 });
});
