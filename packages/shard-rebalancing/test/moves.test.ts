/** Moves of machines: the steps of the state machine, the selection of machines, and the check of requests. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  advanceMove,
  decodeMove,
  moveEndpoints,
  parseMoveRequest,
  newMove,
  moveRequestProblems,
  selectMachines,
  type Candidate,
  type Move,
} from '@sumacstep/shard-rebalancing';

const REQUEST = { id: 'a', from: 0, to: 1, count: 2, deadlineMs: 1000 };
const move = (changes: Partial<Move> = {}): Move => ({
  ...newMove(parseMoveRequest(REQUEST)),
  ...changes,
});
const BACK: Partial<Move> = { direction: 'back', state: 'moving', moved: ['x', 'y'] };

/** Name, move, time of day, obstacle, and what the step changes; null: there is no step. */
type StepRow = [string, Move, number, string | null, Partial<Move> | null];

const STEPS: StepRow[] = [
  ['begins', move(), 0, null, { state: 'preparing' }],
  ['waits, and says for what', move(), 0, 'an owner', { waitsFor: 'an owner' }],
  ['does not repeat it', move({ waitsFor: 'an owner' }), 0, 'an owner', null],
  ['is aborted at the deadline before it began', move(), 1000, 'an owner', { state: 'aborted' }],
  ['while machines move, owners act', move({ state: 'moving', moved: ['x'] }), 999, null, null],
  [
    'all have moved',
    move({ state: 'moving', moved: ['x', 'y'] }),
    2000,
    null,
    { state: 'finished' },
  ],
  [
    'all have moved, to come back',
    move({ state: 'moving', moved: ['x', 'y'], returnAtMs: 5000 }),
    999,
    null,
    { state: 'lent' },
  ],
  ['is lent', move({ state: 'lent', moved: ['x', 'y'], returnAtMs: 5000 }), 4999, null, null],
  [
    'goes back at its time',
    move({ state: 'lent', moved: ['x', 'y'], returnAtMs: 5000 }),
    5000,
    null,
    { state: 'preparing', direction: 'back', abortAsked: false },
  ],
  [
    'some have moved at the deadline: they go back',
    move({ state: 'moving', chosen: ['y'], moved: ['x'] }),
    1000,
    null,
    { state: 'preparing', direction: 'back', chosen: [], moved: ['x'], abortAsked: true },
  ],
  [
    'is aborted by request while some have moved',
    move({ state: 'moving', moved: ['x'], abortAsked: true }),
    0,
    null,
    { state: 'preparing', direction: 'back' },
  ],
  ['no deadline on the way back', move(BACK), 9_999_999, null, null],
  ['all are back', move({ ...BACK, moved: [] }), 0, null, { state: 'finished' }],
  [
    'all are back from a move that was aborted',
    move({ ...BACK, moved: [], abortAsked: true }),
    0,
    null,
    { state: 'aborted' },
  ],
  ['has ended', move({ state: 'aborted' }), 9_999_999, 'an owner', null],
];

describe('steps of a move', () => {
  for (const [name, before, nowMs, obstacle, changes] of STEPS) {
    test(name, () => {
      const after = advanceMove(before, { nowMs, obstacle });
      assert.deepEqual(after, changes === null ? null : { ...before, ...changes });
      // Stored and read again it is the same, and the step is not taken twice.
      if (after === null) return;
      assert.deepEqual(decodeMove(JSON.parse(JSON.stringify(after))), after);
      assert.equal(advanceMove(after, { nowMs: Math.min(nowMs, 999), obstacle }), null);
    });
  }
});

const machine = (name: string, changes: Partial<Candidate> = {}): Candidate => ({
  name,
  type: 'm',
  zone: 'z',
  spot: false,
  tasks: 0,
  runsService: false,
  ineligibleReason: null,
  readyToMove: false,
  ...changes,
});

const unreachable = { ineligibleBecause: 'cannot be reached' };

/** Name, move, candidates, limit, and the selection: chosen, ready, and what the others wait for. */
type SelectionRow = [string, Move, Candidate[], number, string[], string[], string | null];

const SELECTIONS: SelectionRow[] = [
  [
    'least work first',
    move(),
    [machine('a', { tasks: 3 }), machine('b'), machine('c', { tasks: 1 })],
    9,
    ['b', 'c'],
    [],
    'the work on b, c',
  ],
  [
    'chosen before stay chosen',
    move({ chosen: ['a'] }),
    [machine('a', { tasks: 3 }), machine('b'), machine('c')],
    9,
    ['a', 'b'],
    [],
    'the work on a, b',
  ],
  [
    'those that are empty are ready',
    move({ chosen: ['a', 'b'] }),
    [machine('a', { readyToMove: true }), machine('b', { tasks: 1 })],
    9,
    ['a', 'b'],
    ['a'],
    'the work on b',
  ],
  [
    'at most the limit at a time',
    move(),
    [machine('a'), machine('b')],
    1,
    ['a'],
    [],
    'the work on a',
  ],
  [
    'only machines of the kind',
    move({ filter: { type: null, zone: 'y', spot: true } }),
    [machine('a', { zone: 'y' }), machine('b', { spot: true })],
    9,
    [],
    [],
    '2 more machines of the kind',
  ],
  [
    'no machine that is unreachable',
    move(),
    [machine('a', unreachable)],
    9,
    [],
    [],
    'a: cannot be reached',
  ],
  [
    'no machine under a standing service',
    move(),
    [machine('a', { runsService: true })],
    9,
    [],
    [],
    'a: a standing service runs there',
  ],
  [
    'on the way back only those that have moved',
    move({ ...BACK, moved: ['b'] }),
    [machine('a'), machine('b', { runsService: true })],
    9,
    ['b'],
    [],
    'the work on b',
  ],
];

describe('selection of machines', () => {
  for (const [name, present, machines, limit, chosen, ready, waitsFor] of SELECTIONS) {
    test(name, () => {
      assert.deepEqual(selectMachines(present, machines, limit), { chosen, ready, waitsFor });
    });
  }
});

test('endpoints swap on the way back; problems of requests are named by field', () => {
  assert.deepEqual(moveEndpoints(move()), { source: 0, target: 1 });
  assert.deepEqual(moveEndpoints(move(BACK)), { source: 1, target: 0 });
  const bad: [object, string][] = [
    [{ ...REQUEST, count: -1 }, 'count'],
    [{ ...REQUEST, to: 0 }, 'to'],
    [{ ...REQUEST, id: 'a b' }, 'id'],
    [{ ...REQUEST, from: 0.5 }, 'from'],
    [{ ...REQUEST, returnAtMs: 900 }, 'returnAtMs'],
    [{ ...REQUEST, filter: { colour: 'red' } }, 'filter'],
  ];
  for (const [request, field] of bad) {
    const [problem = ''] = moveRequestProblems(request);
    assert.ok(problem.startsWith(`${field}:`), `${field}: ${problem}`);
  }
  assert.deepEqual(moveRequestProblems(REQUEST), []);
});
