/** Encoding and decoding of the status messages between nodes. */
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
  const frames: Buffer[] = [];
  for await (const frame of Readable.from([STATUS, STATUS]).pipe(new StatusEncoder())) {
    frames.push(frame as Buffer);
  }
  return Buffer.concat(frames);
};

test('statuses are decoded unchanged however the byte stream is split into chunks', async () => {
  const bytes = await encode();
  for (const size of [1, 2, 7, 50, bytes.length]) {
    const chunks: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += size) chunks.push(bytes.subarray(at, at + size));
    const decoded: unknown[] = [];
    for await (const status of Readable.from(chunks).pipe(new StatusDecoder()))
      decoded.push(status);
    assert.deepEqual(decoded, [STATUS, STATUS], `chunks of ${size} bytes`);
  }
});

test('a status over the frame limit is sent without images, and if still too long without progress', async () => {
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
    {
      name: 'images too long',
      status: { ...STATUS, shards: [{ ...shard!, images }] },
      jobs: STATUS.jobs,
    },
    {
      name: 'images and progress too long',
      status: { ...STATUS, jobs, shards: [{ ...shard!, images }] },
      jobs: [],
    },
  ];
  for (const { name, status, jobs: expectedJobs } of cases) {
    const oversized: number[] = [];
    const encoder = new StatusEncoder((bytes) => oversized.push(bytes));
    const decoded: PeerStatus[] = [];
    for await (const received of Readable.from([status]).pipe(encoder).pipe(new StatusDecoder())) {
      decoded.push(received as PeerStatus);
    }
    assert.equal(oversized.length, 1, name);
    assert.equal(decoded.length, 1, name);
    assert.deepEqual(decoded[0]?.jobs, expectedJobs, name);
    assert.deepEqual(decoded[0]?.shards[0]?.images, [], name);
    assert.deepEqual(decoded[0]?.shards[0]?.loads, shard!.loads, name);
  }
});

test('a malformed or oversized frame fails the stream', async () => {
  for (const bytes of [Buffer.from('ffffffff7f', 'hex'), Buffer.from('03ffffff', 'hex')]) {
    const decoder = Readable.from([bytes]).pipe(new StatusDecoder());
    await assert.rejects(async () => {
      for await (const status of decoder) void status;
    });
  }
});
