import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GOSSIPED_CANCELLATIONS_LIMIT } from '../src/core/cancellation/constants.js';
import {
  CancellationReceiver,
  renewableMs,
  CancellationBroadcast,
} from '../src/core/cancellation/cancellations.js';

const CANCEL_MS = 38_000;
const cancellation = (n: number) => ({ uid: `job-${n}`, tasks: 1, done: 0, epoch: n });
const uids = (t: CancellationBroadcast, now: number) => t.tell(now).map((c) => c.uid);

test('a cancellation is told until every other node has acknowledged a message that names it', () => {
  const t = new CancellationBroadcast(['b', 'c'], CANCEL_MS);
  t.learned(cancellation(1), 0);
  // An acknowledgement of a message from before it was learned says nothing of it.
  t.acknowledged('b', -5);
  t.acknowledged('c', -5);
  assert.deepEqual(uids(t, 10), ['job-1']);
  t.learned(cancellation(2), 11);
  assert.deepEqual(uids(t, 20), ['job-1', 'job-2']);
  t.acknowledged('b', 20);
  assert.deepEqual(uids(t, 30), ['job-1', 'job-2'], 'c has said nothing');
  t.acknowledged('c', 10);
  assert.deepEqual(uids(t, 40), ['job-2']);
  t.acknowledged('c', 40);
  assert.deepEqual(uids(t, 50), []);
  t.learned(cancellation(3), 60);
  assert.deepEqual(uids(t, 60), ['job-3']);
  assert.deepEqual(uids(t, 60 + 2 * CANCEL_MS + 1), [], 'whoever has not heard has let go');
});

test('a broadcaster that had to leave one out says so for as long as it matters', () => {
  const t = new CancellationBroadcast(['b'], CANCEL_MS);
  for (let n = 0; n < GOSSIPED_CANCELLATIONS_LIMIT; n++) t.learned(cancellation(n), 0);
  assert.equal(t.complete(0), true);
  t.learned(cancellation(GOSSIPED_CANCELLATIONS_LIMIT), 5);
  assert.equal(t.tell(6).length, GOSSIPED_CANCELLATIONS_LIMIT);
  assert.equal(t.complete(6), false);
  assert.equal(t.complete(5 + 2 * CANCEL_MS + 1), true);
});

test('up to when every confirmed cancellation is known: table', () => {
  type Word = [at: number, node: string, incarnation: string, echoed: number, complete?: boolean];
  const cases: { name: string; readAt: number; words: Word[]; known: number }[] = [
    { name: 'nobody has said anything', readAt: 50, words: [], known: 50 },
    {
      name: 'both in touch, first heard before the last read',
      readAt: 50,
      words: [
        [10, 'b', 'x', 9],
        [11, 'c', 'y', 9],
        [90, 'b', 'x', 88],
        [91, 'c', 'y', 89],
      ],
      known: 88,
    },
    {
      name: 'one has not been heard since',
      readAt: 50,
      words: [
        [10, 'b', 'x', 9],
        [11, 'c', 'y', 9],
        [90, 'b', 'x', 88],
      ],
      known: 50,
    },
    {
      name: 'one hears nothing of us',
      readAt: 50,
      words: [
        [10, 'b', 'x', 9],
        [11, 'c', 'y', 9],
        [90, 'b', 'x', 88],
        [91, 'c', 'y', 9],
      ],
      known: 50,
    },
    {
      name: 'one ended and came back: what its earlier life did last is not known',
      readAt: 50,
      words: [
        [10, 'b', 'x', 9],
        [11, 'c', 'y', 9],
        [70, 'b', 'x', 69],
        [80, 'c', 'y', 72],
        [90, 'c', 'z', 88],
        [95, 'b', 'x', 94],
        [99, 'c', 'z', 98],
      ],
      known: 72,
    },
    {
      name: 'a read after it came back closes the hole',
      readAt: 92,
      words: [
        [10, 'b', 'x', 9],
        [11, 'c', 'y', 9],
        [90, 'c', 'z', 88],
        [95, 'b', 'x', 94],
        [99, 'c', 'z', 98],
      ],
      known: 94,
    },
    {
      name: 'a late message of the earlier life opens it again',
      readAt: 92,
      words: [
        [10, 'b', 'x', 9],
        [90, 'c', 'z', 88],
        [95, 'b', 'x', 94],
        [96, 'c', 'z', 95],
        [97, 'c', 'y', 12],
        [99, 'c', 'z', 98],
      ],
      known: 94,
    },
    {
      name: 'one that does not know of telling, or left something out',
      readAt: 50,
      words: [
        [10, 'b', 'x', 9],
        [11, 'c', 'y', 9],
        [90, 'b', 'x', 88],
        [91, 'c', 'y', 90, false],
      ],
      known: 50,
    },
  ];
  for (const { name, readAt, words, known } of cases) {
    const h = new CancellationReceiver(['b', 'c']);
    for (const [at, node, incarnation, echoed, complete = true] of words) {
      h.heard({ node, incarnation, complete, echoed }, Math.min(at, readAt), at);
    }
    assert.equal(h.knownUntil(readAt), known, name);
  }
  assert.equal(
    new CancellationReceiver([]).knownUntil(5),
    Infinity,
    'nobody else can confirm anything',
  );
});

test('a lease renewed at the last moment ends in time for a cancellation not heard of', () => {
  for (const [cancelS, leaseS] of [
    [38, 18],
    [59, 29],
    [10, 4],
  ] as const) {
    const ms = renewableMs(cancelS * 1000, leaseS * 1000);
    assert.ok(ms > 0 && ms + leaseS * 1000 < cancelS * 1000 - 1000);
  }
});
