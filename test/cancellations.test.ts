/** Gossip of confirmed cancellations: broadcast with acknowledgements, coverage, and lease renewals. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationBroadcast } from '../src/core/cancellation/cancellation-broadcast.js';
import {
  CancellationCoverage,
  type ReceivedBroadcast,
} from '../src/core/cancellation/cancellation-coverage.js';
import { GOSSIPED_CANCELLATIONS_LIMIT } from '../src/core/cancellation/constants.js';
import { renewalWindowMs } from '../src/core/cancellation/lease-renewal.js';

const CANCEL_MS = 38_000;

const cancellation = (number: number) => ({
  uid: `job-${number}`,
  tasks: 1,
  done: 0,
  epoch: number,
});

test('a cancellation is sent until every peer has acknowledged a message that names it', () => {
  type Step =
    | { add: number; at: number }
    | { acknowledgedBy: string; sentAt: number }
    | { messageAt: number; names: string[]; why?: string };
  const steps: Step[] = [
    { add: 1, at: 0 },
    // Messages from before it was added do not name it.
    { acknowledgedBy: 'b', sentAt: -5 },
    { acknowledgedBy: 'c', sentAt: -5 },
    { messageAt: 10, names: ['job-1'] },
    { add: 2, at: 11 },
    { messageAt: 20, names: ['job-1', 'job-2'] },
    { acknowledgedBy: 'b', sentAt: 20 },
    { messageAt: 30, names: ['job-1', 'job-2'], why: 'c has acknowledged nothing' },
    { acknowledgedBy: 'c', sentAt: 10 },
    { messageAt: 40, names: ['job-2'] },
    { acknowledgedBy: 'c', sentAt: 40 },
    { messageAt: 50, names: [] },
    { add: 3, at: 60 },
    { messageAt: 60, names: ['job-3'] },
    {
      messageAt: 60 + 2 * CANCEL_MS + 1,
      names: [],
      why: 'peers that do not know it have let their leases expire',
    },
  ];
  const broadcast = new CancellationBroadcast(['b', 'c'], CANCEL_MS);
  for (const step of steps) {
    if ('add' in step) broadcast.add(cancellation(step.add), step.at);
    else if ('acknowledgedBy' in step) broadcast.acknowledge(step.acknowledgedBy, step.sentAt);
    else {
      const named = broadcast.nextMessage(step.messageAt).map(({ uid }) => uid);
      assert.deepEqual(named, step.names, step.why ?? `the message at ${step.messageAt}`);
    }
  }
});

test('a broadcast that had to leave one out is incomplete for as long as it matters', () => {
  const broadcast = new CancellationBroadcast(['b'], CANCEL_MS);
  for (let number = 0; number < GOSSIPED_CANCELLATIONS_LIMIT; number++) {
    broadcast.add(cancellation(number), 0);
  }
  assert.equal(broadcast.isComplete(0), true);
  broadcast.add(cancellation(GOSSIPED_CANCELLATIONS_LIMIT), 5);
  assert.equal(broadcast.nextMessage(6).length, GOSSIPED_CANCELLATIONS_LIMIT);
  assert.equal(broadcast.isComplete(6), false);
  assert.equal(broadcast.isComplete(5 + 2 * CANCEL_MS + 1), true);
});

type TimedBroadcast = ReceivedBroadcast & { at: number };

/** A message received at `at` from a node's incarnation, e.g. `b/x`. */
const message = (
  at: number,
  from: `${string}/${string}`,
  acknowledgedSentAt: number,
  complete = true,
): TimedBroadcast => {
  const [node, incarnation] = from.split('/') as [string, string];
  return { at, node, incarnation, acknowledgedSentAt, complete };
};

/** The first messages of both peers, which open a gap until the next read. */
const FIRST = [message(10, 'b/x', 9), message(11, 'c/y', 9)];

const COVERAGE: { name: string; readAt: number; messages: TimedBroadcast[]; known: number }[] = [
  { name: 'no peer has sent anything', readAt: 50, messages: [], known: 50 },
  {
    name: 'both in touch, first messages before the last read',
    readAt: 50,
    messages: [...FIRST, message(90, 'b/x', 88), message(91, 'c/y', 89)],
    known: 88,
  },
  {
    name: 'one has sent nothing since',
    readAt: 50,
    messages: [...FIRST, message(90, 'b/x', 88)],
    known: 50,
  },
  {
    name: 'one receives nothing of ours',
    readAt: 50,
    messages: [...FIRST, message(90, 'b/x', 88), message(91, 'c/y', 9)],
    known: 50,
  },
  {
    name: 'one restarted: what its earlier incarnation did last is not known',
    readAt: 50,
    messages: [
      ...FIRST,
      message(70, 'b/x', 69),
      message(80, 'c/y', 72),
      message(90, 'c/z', 88),
      message(95, 'b/x', 94),
      message(99, 'c/z', 98),
    ],
    known: 72,
  },
  {
    name: 'a read after the restart closes the gap',
    readAt: 92,
    messages: [...FIRST, message(90, 'c/z', 88), message(95, 'b/x', 94), message(99, 'c/z', 98)],
    known: 94,
  },
  {
    name: 'a late message of the earlier incarnation opens it again',
    readAt: 92,
    messages: [
      message(10, 'b/x', 9),
      message(90, 'c/z', 88),
      message(95, 'b/x', 94),
      message(96, 'c/z', 95),
      message(97, 'c/y', 12),
      message(99, 'c/z', 98),
    ],
    known: 94,
  },
  {
    name: 'one does not broadcast cancellations, or left something out',
    readAt: 50,
    messages: [...FIRST, message(90, 'b/x', 88), message(91, 'c/y', 90, false)],
    known: 50,
  },
];

for (const { name, readAt, messages, known } of COVERAGE) {
  test(`up to when every confirmed cancellation is known: ${name}`, () => {
    const coverage = new CancellationCoverage(['b', 'c']);
    for (const { at, ...broadcast } of messages) {
      coverage.receive(broadcast, Math.min(at, readAt), at);
    }
    assert.equal(coverage.knownUntil(readAt), known);
  });
}

test('without peers nobody else can confirm a cancellation', () => {
  assert.equal(new CancellationCoverage([]).knownUntil(5), Infinity);
});

test('a lease renewed at the last moment expires in time for an unknown cancellation', () => {
  for (const [cancelS, leaseS] of [
    [38, 18],
    [59, 29],
    [10, 4],
  ] as const) {
    const ms = renewalWindowMs(cancelS * 1000, leaseS * 1000);
    assert.ok(ms > 0 && ms + leaseS * 1000 < cancelS * 1000 - 1000);
  }
});
