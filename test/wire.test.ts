/** Messages of the protocol: validation, decoding, and the mapping between the names of the wire and the model. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeCbor, encodeCbor, WireError } from '../src/wire/cbor.js';
import { heartbeatResponseBody, heartbeatSchema } from '../src/wire/workers.js';
import { watchSchema } from '../src/wire/store.js';
import { submissionSchema } from '../src/wire/users.js';

const VALID_SUBMISSION = {
  Uid: 'job-000412',
  Jobclass: 'train',
  Owner: 'vision',
  Shape: 'ensemble',
  Rank: 'urgent',
  Pieces: 16,
  Vcpus: 8,
  Cards: 1,
  MemGb: 64,
  Bundle: 'img-07',
  ImageGb: 6.2,
  Hosttypes: ['g8'],
  Site: null,
  OneZone: true,
  Spread: false,
  Reclaimable: true,
  GuessS: 240,
  SnapshotEveryS: 30,
  SnapshotS: 4,
  DueS: 900,
};

test('submissions: valid ones are accepted, malformed ones are rejected', () => {
  const cases: [string, Record<string, unknown>, boolean][] = [
    ['the valid example', {}, true],
    ['unknown fields are ignored', { Extra: 1 }, true],
    [
      'optional fields may be missing',
      { Hosttypes: undefined, Site: undefined, DueS: undefined },
      true,
    ],
    ['a missing field', { Pieces: undefined }, false],
    ['an id of an invalid form', { Uid: 'task-1' }, false],
    ['an id with a path in it', { Uid: 'job-1/../2' }, false],
    ['no tasks', { Pieces: 0 }, false],
    ['too many tasks', { Pieces: 100_001 }, false],
    ['a fractional number of tasks', { Pieces: 1.5 }, false],
    ['a negative amount', { Vcpus: -1 }, false],
    ['text instead of an amount', { MemGb: '64' }, false],
    ['an unknown kind', { Shape: 'daemon' }, false],
    ['an unknown rank', { Rank: 'top' }, false],
    ['a number instead of a boolean', { Spread: 0 }, false],
    ['infinity', { GuessS: Infinity }, false],
  ];
  for (const [description, changes, valid] of cases) {
    assert.equal(
      submissionSchema.safeParse({ ...VALID_SUBMISSION, ...changes }).success,
      valid,
      description,
    );
  }
  assert.equal(submissionSchema.safeParse([]).success, false, 'not a map');
});

test('CBOR: bytes outside the subset of the protocol are rejected', () => {
  const encoded = encodeCbor(VALID_SUBMISSION);
  assert.deepEqual(decodeCbor(encoded), VALID_SUBMISSION);
  const cases: [string, Uint8Array][] = [
    ['no bytes', new Uint8Array()],
    ['truncated', encoded.slice(0, -1)],
    ['trailing bytes', Uint8Array.of(...encoded, 0)],
    ['NaN', Uint8Array.of(0xf9, 0x7e, 0x00)],
    ['undefined', Uint8Array.of(0xf7)],
    ['a duplicate key', Uint8Array.of(0xa2, 0x61, 0x61, 1, 0x61, 0x61, 2)],
  ];
  for (const [description, bytes] of cases)
    assert.throws(() => decodeCbor(bytes), WireError, description);
});

test('heartbeats: states and exit reasons are mapped to those of the model', () => {
  const parsed = heartbeatSchema.parse({
    Host: 'vm-1',
    Address: 'a:1',
    Hosttype: 'g8',
    Site: 'a',
    Reclaimable: true,
    Tenure: 1,
    Counter: 88,
    Mandate: 41,
    Pieces: [
      { Piece: 'job-000412/3', Try: 2, Status: 'gathering' },
      { Piece: 'job-000398/0', Try: 1, Status: 'ended', Cause: 'full' },
      { Piece: 'job-000398/1', Try: 1, Status: 'ended', Cause: 'news to us' },
    ],
  });
  assert.deepEqual(
    parsed.tasks.map((task) => [task.uid, task.index, task.state, task.why]),
    [
      ['job-000412', 3, 'waiting', null],
      ['job-000398', 0, 'exited', 'no_room'],
      ['job-000398', 1, 'exited', 'error'],
    ],
  );
  assert.equal(parsed.preemptionNoticeS, null);
});

test('commands: operations are mapped to the verbs of the wire', () => {
  const task = { uid: 'job-1', index: 4, attempt: 2 };
  assert.deepEqual(
    heartbeatResponseBody(41, [
      { op: 'start', ...task },
      { op: 'stop', ...task, graceS: 10 },
      { op: 'forget', ...task },
    ]),
    {
      Mandate: 41,
      Orders: [
        { Verb: 'start', Piece: 'job-1/4', Try: 2 },
        { Verb: 'stop', Piece: 'job-1/4', Try: 2, WindupS: 10 },
        { Verb: 'reap', Piece: 'job-1/4', Try: 2 },
      ],
    },
  );
});

// Removals carry no value. A decoder that required one stopped the watch at the first finished job.
test('watch: a removal without a value is accepted', () => {
  const parsed = watchSchema.parse({ Epoch: 433, News: [{ Drop: 'c/d', Stamp: 432 }] });
  const removal = { key: 'c/d', revision: 432, value: undefined, removed: true };
  assert.deepEqual(parsed, { storeRevision: 433, changes: [removal] });
});
