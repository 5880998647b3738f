/** Moves of machines: transitions of the state machine, selection of machines, and validation of requests. */
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

/** Title, move, time of day (ms), obstacle, and the properties that the transition changes; null: no transition. */
type TransitionRow = [string, Move, number, string | null, Partial<Move> | null];

const TRANSITIONS: TransitionRow[] = [
  ['a requested move starts', move(), 0, null, { state: 'preparing' }],
  [
    'a move that cannot start records its wait reason',
    move(),
    0,
    'an owner',
    { waitsFor: 'an owner' },
  ],
  [
    'a wait reason that is recorded already is not written again',
    move({ waitsFor: 'an owner' }),
    0,
    'an owner',
    null,
  ],
  [
    'a move that has not started by its deadline is aborted',
    move(),
    1000,
    'an owner',
    { state: 'aborted' },
  ],
  [
    'while machines move, the coordinator has nothing to do',
    move({ state: 'moving', moved: ['x'] }),
    999,
    null,
    null,
  ],
  [
    'all machines have moved: the move is finished',
    move({ state: 'moving', moved: ['x', 'y'] }),
    2000,
    null,
    { state: 'finished' },
  ],
  [
    'all machines have moved and are to be returned: they are lent',
    move({ state: 'moving', moved: ['x', 'y'], returnAtMs: 5000 }),
    999,
    null,
    { state: 'lent' },
  ],
  [
    'a lent machine stays before the return time',
    move({ state: 'lent', moved: ['x', 'y'], returnAtMs: 5000 }),
    4999,
    null,
    null,
  ],
  [
    'the return starts at the return time',
    move({ state: 'lent', moved: ['x', 'y'], returnAtMs: 5000 }),
    5000,
    null,
    { state: 'preparing', direction: 'back', abortAsked: false },
  ],
  [
    'some machines have moved at the deadline: they are returned',
    move({ state: 'moving', chosen: ['y'], moved: ['x'] }),
    1000,
    null,
    { state: 'preparing', direction: 'back', chosen: [], moved: ['x'], abortAsked: true },
  ],
  [
    'an abort is requested after some machines have moved: they are returned',
    move({ state: 'moving', moved: ['x'], abortAsked: true }),
    0,
    null,
    { state: 'preparing', direction: 'back' },
  ],
  ['the return has no deadline', move(BACK), 9_999_999, null, null],
  [
    'all machines are returned: the move is finished',
    move({ ...BACK, moved: [] }),
    0,
    null,
    { state: 'finished' },
  ],
  [
    'all machines are returned after an abort: the move is aborted',
    move({ ...BACK, moved: [], abortAsked: true }),
    0,
    null,
    { state: 'aborted' },
  ],
  ['a terminal move has no transition', move({ state: 'aborted' }), 9_999_999, 'an owner', null],
];

describe('transitions of a move', () => {
  for (const [title, before, nowMs, obstacle, changes] of TRANSITIONS) {
    test(title, () => {
      const after = advanceMove(before, { nowMs, obstacle });
      assert.deepEqual(after, changes === null ? null : { ...before, ...changes });
      // The result survives encoding and decoding, and the same transition is not computed twice.
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

const unreachable = { ineligibleReason: 'cannot be reached' };

/** Title, move, candidates, limit, and the expected selection: chosen, ready and wait reason. */
type SelectionRow = [string, Move, Candidate[], number, string[], string[], string | null];

const SELECTIONS: SelectionRow[] = [
  [
    'machines with the fewest tasks are chosen first',
    move(),
    [machine('a', { tasks: 3 }), machine('b'), machine('c', { tasks: 1 })],
    9,
    ['b', 'c'],
    [],
    'the work on b, c',
  ],
  [
    'machines that are chosen already stay chosen',
    move({ chosen: ['a'] }),
    [machine('a', { tasks: 3 }), machine('b'), machine('c')],
    9,
    ['a', 'b'],
    [],
    'the work on a, b',
  ],
  [
    'chosen machines that are empty are ready',
    move({ chosen: ['a', 'b'] }),
    [machine('a', { readyToMove: true }), machine('b', { tasks: 1 })],
    9,
    ['a', 'b'],
    ['a'],
    'the work on b',
  ],
  [
    'no more machines are chosen than the limit',
    move(),
    [machine('a'), machine('b')],
    1,
    ['a'],
    [],
    'the work on a',
  ],
  [
    'only machines that match the filter are chosen',
    move({ filter: { type: null, zone: 'y', spot: true } }),
    [machine('a', { zone: 'y' }), machine('b', { spot: true })],
    9,
    [],
    [],
    '2 more machines of the kind',
  ],
  [
    'an unreachable machine is not chosen',
    move(),
    [machine('a', unreachable)],
    9,
    [],
    [],
    'a: cannot be reached',
  ],
  [
    'a machine that runs a service job is not chosen',
    move(),
    [machine('a', { runsService: true })],
    9,
    [],
    [],
    'a: a standing service runs there',
  ],
  [
    'on the way back only machines that have moved are chosen',
    move({ ...BACK, moved: ['b'] }),
    [machine('a'), machine('b', { runsService: true })],
    9,
    ['b'],
    [],
    'the work on b',
  ],
];

describe('selection of machines', () => {
  for (const [title, storedMove, machines, limit, chosen, ready, waitsFor] of SELECTIONS) {
    test(title, () => {
      assert.deepEqual(selectMachines(storedMove, machines, limit), { chosen, ready, waitsFor });
    });
  }
});

test('source and target are swapped on the way back; problems of a request name the invalid field', () => {
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
