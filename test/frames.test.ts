import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { StatusDecoder, StatusEncoder, type PeerStatus } from '../src/peers/frames.js';

const STATUS: PeerStatus = {
  node: 'n0',
  incarnation: 'a',
  sentAt: 12.5,
  hasStore: true,
  detailed: true,
  shards: [
    {
      shard: 1,
      loads: [0.5, 0.25],
      waiting: [3, 1, 0, 0],
      freeCapacity: [
        {
          cpus: 1,
          gpus: 0,
          memoryGb: 2,
          type: 'm',
          zone: 'z',
          spot: true,
          count: 3,
          minimumRank: 1,
          images: ['i', 'k'],
        },
      ],
      activeTasks: [{ jobClass: 'c', tasks: 4 }],
      images: [{ machine: 'x', images: ['i'], gb: [7.5] }],
    },
  ],
  jobs: [{ uid: 'job-1', running: 2, done: 1, shard: 1 }],
  echoes: [{ node: 'n1', sentAt: 3, incarnation: 'b' }],
  observedWorkers: [{ shard: 0, workers: 4 }],
  classes: [{ jobClass: 'c', runS: 30, finished: 7 }],
  cancellations: [{ uid: 'job-2', tasks: 4, done: 1, epoch: 77 }],
  cancellationsComplete: true,
};

const encode = async (): Promise<Buffer> => {
  const out: Buffer[] = [];
  for await (const b of Readable.from([STATUS, STATUS]).pipe(new StatusEncoder())) {
    out.push(b as Buffer);
  }
  return Buffer.concat(out);
};

test('messages between nodes survive any cut of the byte stream', async () => {
  const bytes = await encode();
  for (const size of [1, 2, 7, 50, bytes.length]) {
    const pieces: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += size) pieces.push(bytes.subarray(at, at + size));
    const got: unknown[] = [];
    for await (const s of Readable.from(pieces).pipe(new StatusDecoder())) got.push(s);
    assert.deepEqual(got, [STATUS, STATUS], `pieces of ${size}`);
  }
});

test('a status of more machines than fit a message goes without their images, or without progress', async () => {
  const names = Array.from({ length: 20 }, (_, i) => `image-${i}`);
  const images = Array.from({ length: 6000 }, (_, i) => ({
    machine: `vm-${100_000 + i}`,
    images: names,
    gb: names.map(() => 7.5),
  }));
  const jobs = Array.from({ length: 60_000 }, (_, i) => ({
    uid: `job-${100_000 + i}`,
    ...{ running: 1, done: 2, shard: 1 },
  }));
  const [shard] = STATUS.shards;
  const cases = [
    { name: 'images', status: { ...STATUS, shards: [{ ...shard!, images }] }, jobs: STATUS.jobs },
    { name: 'both', status: { ...STATUS, jobs, shards: [{ ...shard!, images }] }, jobs: [] },
  ];
  for (const { name, status, jobs: left } of cases) {
    const tooLong: number[] = [];
    const encoder = new StatusEncoder((bytes) => tooLong.push(bytes));
    const got: PeerStatus[] = [];
    for await (const s of Readable.from([status]).pipe(encoder).pipe(new StatusDecoder())) {
      got.push(s as PeerStatus);
    }
    assert.equal(tooLong.length, 1, name);
    assert.equal(got.length, 1, name);
    assert.deepEqual(got[0]?.jobs, left, name);
    assert.deepEqual(got[0]?.shards[0]?.images, [], name);
    assert.deepEqual(got[0]?.shards[0]?.loads, shard!.loads, name);
  }
});

test('garbage and oversized frames end the stream with an error', async () => {
  for (const bytes of [Buffer.from('ffffffff7f', 'hex'), Buffer.from('03ffffff', 'hex')]) {
    const decoder = Readable.from([bytes]).pipe(new StatusDecoder());
    await assert.rejects(async () => {
      for await (const s of decoder) void s;
    });
  }
});
