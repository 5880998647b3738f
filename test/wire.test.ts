import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeCbor, encodeCbor, WireError } from '../src/wire/cbor.js';
import { heartbeatResponseBody, heartbeatSchema } from '../src/wire/workers.js';
import { watchSchema } from '../src/wire/store.js';
import { submissionSchema } from '../src/wire/users.js';

const GOOD = {
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

test('submissions: what is taken and what is malformed', () => {
  const cases: [string, Record<string, unknown>, boolean][] = [
    ['the example', {}, true],
    ['unknown fields are ignored', { Extra: 1 }, true],
    ['nulls may be left out', { Hosttypes: undefined, Site: undefined, DueS: undefined }, true],
    ['a missing field', { Pieces: undefined }, false],
    ['an id of another form', { Uid: 'task-1' }, false],
    ['an id with a path in it', { Uid: 'job-1/../2' }, false],
    ['no tasks', { Pieces: 0 }, false],
    ['too many tasks', { Pieces: 100_001 }, false],
    ['half a task', { Pieces: 1.5 }, false],
    ['a negative amount', { Vcpus: -1 }, false],
    ['text for an amount', { MemGb: '64' }, false],
    ['an unknown kind', { Shape: 'daemon' }, false],
    ['an unknown rank', { Rank: 'top' }, false],
    ['a number for a flag', { Spread: 0 }, false],
    ['infinity', { GuessS: Infinity }, false],
  ];
  for (const [name, over, good] of cases) {
    assert.equal(submissionSchema.safeParse({ ...GOOD, ...over }).success, good, name);
  }
  assert.equal(submissionSchema.safeParse([]).success, false, 'not a map');
});

test('CBOR: bytes that are none of the protocol', () => {
  const good = encodeCbor(GOOD);
  assert.deepEqual(decodeCbor(good), GOOD);
  const cases: [string, Uint8Array][] = [
    ['nothing', new Uint8Array()],
    ['cut short', good.slice(0, -1)],
    ['trailing bytes', Uint8Array.of(...good, 0)],
    ['NaN', Uint8Array.of(0xf9, 0x7e, 0x00)],
    ['undefined', Uint8Array.of(0xf7)],
    ['a key twice', Uint8Array.of(0xa2, 0x61, 0x61, 1, 0x61, 0x61, 2)],
  ];
  for (const [name, bytes] of cases) assert.throws(() => decodeCbor(bytes), WireError, name);
});

test('reports: the words of the wire become those of the model', () => {
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
    parsed.tasks.map((t) => [t.uid, t.index, t.state, t.why]),
    [
      ['job-000412', 3, 'waiting', null],
      ['job-000398', 0, 'exited', 'no_room'],
      ['job-000398', 1, 'exited', 'error'],
    ],
  );
  assert.equal(parsed.preemptionNoticeS, null);
});

test('orders: the verbs of the wire', () => {
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

// The first feed stood still from the first finished job on: removals carry no value.
test('changes: a removal has no value', () => {
  const parsed = watchSchema.parse({ Epoch: 433, News: [{ Drop: 'c/d', Stamp: 432 }] });
  const removal = { key: 'c/d', revision: 432, value: undefined, removed: true };
  assert.deepEqual(parsed, { storeRevision: 433, changes: [removal] });
});
