/** The shard directory of a node that owns one of three shards. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadIndex } from '../src/core/capacity/allocation-ratio.js';
import { PRIORITY_RANK, type JobSpec } from '../src/core/model.js';
import type { PeerStatus } from '../src/peers/frames.js';
import { ShardDirectory } from '../src/peers/shard-directory.js';
import { job, machine, machineType, shardWith, spec, Store } from './helpers.js';

type ShardStatus = PeerStatus['shards'][number];
type JobStatus = PeerStatus['jobs'][number];

const RANKS = Object.keys(PRIORITY_RANK).length;

/** The status of a shard of another node whose load is `load` for every job. */
const announcedShard = (shard: number, load: number): ShardStatus => ({
  shard,
  loads: Array.from({ length: RANKS * 2 }, () => load),
  freeCapacity: [],
  waiting: Array.from({ length: RANKS }, () => 1),
  images: [],
  activeTasks: [],
});

const peerStatus = (node: string, shards: ShardStatus[], jobs: JobStatus[] = []): PeerStatus => ({
  ...{ node, incarnation: 'i', sentAt: 0, detailed: true, echoes: [] },
  ...{ cancellations: [], cancellationsComplete: true, hasStore: true, observedWorkers: [] },
  ...{ shards, jobs, classes: [] },
});

/** A directory whose node owns shard 0, with eight tasks waiting and free capacity for two on its only machine. */
const createDirectory = (peers: readonly PeerStatus[]) => {
  const shard = shardWith(new Store().add(machine('a'), job({ tasks: 8 })));
  const statuses = () => peers;
  const shards = new Map([[0, { shard }]]);
  const directory = new ShardDirectory(
    3,
    () => shards,
    { recent: statuses, latest: statuses, reachable: statuses },
    () => 0,
  );
  directory.describeShard(0, shard, false);
  return directory;
};

test('tasks migrate to a shard without free capacity only if its load is much lower', () => {
  const own = shardWith(new Store().add(machine('a'), job({ tasks: 8 }))).allocationRatios(0);
  assert.equal(
    own[loadIndex(PRIORITY_RANK.normal, true)],
    4,
    'eight tasks on a machine that fits two',
  );
  const cases: [name: string, peers: PeerStatus[], expected: number | null][] = [
    ['no other shard is known', [], null],
    ['load much lower', [peerStatus('n1', [announcedShard(1, 1)])], 1],
    [
      'the lowest of several',
      [peerStatus('n1', [announcedShard(1, 2)]), peerStatus('n2', [announcedShard(2, 1)])],
      2,
    ],
    ['load slightly lower', [peerStatus('n1', [announcedShard(1, 3)])], null],
    ['load higher', [peerStatus('n1', [announcedShard(1, 9)])], null],
  ];
  for (const [name, peers, expected] of cases) {
    assert.equal(createDirectory(peers).lessAllocatedShard(spec(), 0), expected, name);
  }
});

/** The status of a node whose shard has an idle machine in each of these zones, for two tasks of the default demand. */
const peerWithRoom = (shard: number, ...zones: string[]): PeerStatus => {
  const idle = { ...machineType(), type: 'm', spot: false, minimumRank: 0, count: 1, images: [] };
  const freeCapacity = zones.map((zone) => ({ ...idle, zone }));
  const waiting = Array.from({ length: RANKS }, () => 0);
  return peerStatus(`n${shard}`, [{ ...announcedShard(shard, 0.1), waiting, freeCapacity }]);
};

// Guards against a gang that goes to a shard where some of its tasks fit, or fit only in two zones together.
test('the room of another shard is that for the whole job, within its zone constraints (table)', () => {
  const twoZones = peerWithRoom(1, 'z', 'y');
  const both = [twoZones, peerWithRoom(2, 'z', 'z', 'y')];
  const gang = { kind: 'gang', tasks: 4 } as const;
  const oneZone = { tasks: 9, oneZone: true };
  const cases: [string, Partial<JobSpec>, PeerStatus[], minimum: number, number | null][] = [
    ['an array takes the first room', { tasks: 9 }, both, 1, 1],
    ['a gang in both zones', gang, both, 4, 1],
    ['a gang in one zone passes over the first', { ...gang, oneZone: true }, both, 4, 2],
    ['a gang that fits in one zone nowhere', { ...gang, oneZone: true }, [twoZones], 4, null],
    ['a spread gang', { ...gang, spread: true }, [twoZones], 4, 1],
    ['half of a spread gang', { ...gang, spread: true }, [peerWithRoom(1, 'z', 'z')], 4, null],
    ['an array in one zone of which some fits', oneZone, [twoZones], 2, 1],
    ['an array in one zone with more on its way', oneZone, [twoZones], 3, null],
  ];
  for (const [name, overrides, peers, minimum, expected] of cases) {
    const directory = createDirectory(peers);
    const found = directory.shardWithFreeCapacity(spec(overrides), 0, minimum);
    assert.equal(found?.shard ?? null, expected, name);
    if (overrides.kind !== 'gang') continue;
    const shard1 = directory.loads(spec(overrides)).find(({ shard }) => shard === 1);
    assert.equal(shard1?.fitsNow, expected === 1, `${name}: routing`);
  }
});

test('progress of a job sums up what the peers announce of shards that this node does not own', () => {
  const jobsOfN1 = [
    { uid: 'job-000007', running: 2, done: 3, shard: 1 },
    { uid: 'job-000008', running: 1, done: 0, shard: 1 },
  ];
  const jobsOfN2 = [
    { uid: 'job-000007', running: 1, done: 4, shard: 2 },
    { uid: 'job-000007', running: 9, done: 9, shard: 0 },
  ];
  const peers = [peerStatus('n1', [], jobsOfN1), peerStatus('n2', [], jobsOfN2)];
  const directory = createDirectory(peers);
  assert.deepEqual(
    directory.progress('job-000007'),
    { done: 7, running: 3 },
    'without the own shard',
  );
  assert.deepEqual(directory.progress('job-000008'), { done: 0, running: 1 });
  assert.deepEqual(directory.progress('job-000009'), { done: 0, running: 0 });
});
