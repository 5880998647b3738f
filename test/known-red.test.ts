/** Checks that a test run passes only if exactly the tests listed in KNOWN-RED.txt fail. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluateOutcomes } from './runner/known-red.js';

const entryFor = (name: string) => `${name} | npm test, seed 1 | what was seen | issue 1`;

const CASES: readonly {
  readonly name: string;
  readonly text?: string;
  readonly passed?: readonly string[];
  readonly failed?: readonly string[];
  /** matches one of the printed lines; null if the run counts as passed */
  readonly problem: RegExp | null;
}[] = [
  { name: 'no list, all tests pass', passed: ['a'], problem: null },
  { name: 'no list, one test fails', failed: ['a'], problem: /^failed: a$/ },
  { name: 'the listed test fails', text: entryFor('a > b'), failed: ['a > b'], problem: null },
  {
    name: 'an unlisted test fails, too',
    text: entryFor('a'),
    failed: ['a', 'b'],
    problem: /^failed: b$/,
  },
  { name: 'the listed test passes', text: entryFor('a'), passed: ['a'], problem: /passes: a$/ },
  {
    name: 'the listed test did not run',
    text: entryFor('a'),
    passed: ['b'],
    problem: /not run: a$/,
  },
  {
    name: 'three listed tests fail',
    text: ['# a note', entryFor('a'), '', entryFor('b'), entryFor('c')].join('\n'),
    failed: ['a', 'b', 'c'],
    problem: null,
  },
  {
    name: 'four listed tests fail',
    text: ['a', 'b', 'c', 'd'].map(entryFor).join('\n'),
    failed: ['a', 'b', 'c', 'd'],
    problem: /at most 3/,
  },
  ...[
    { name: 'without a test', text: ' | npm test | seen | issue 1', missingField: 'test' },
    { name: 'without a command', text: 'a | | seen | issue 1', missingField: 'command and seed' },
    {
      name: 'without the observed failure',
      text: 'a | npm test | | issue 1',
      missingField: 'what was seen',
    },
    { name: 'without an issue', text: 'a | npm test | seen', missingField: 'issue' },
    {
      name: 'in an earlier format of three fields',
      text: 'a | cause | issue 1',
      missingField: 'issue',
    },
  ].map(({ name, text, missingField }) => ({
    name: `an entry ${name}`,
    text,
    failed: ['a'],
    problem: new RegExp(`lacks ${missingField}, not "test`),
  })),
  {
    name: 'an entry with too many fields',
    text: `${entryFor('a')} | more`,
    failed: ['a'],
    problem: /too many fields, not "test/,
  },
];

test('only the tests listed in KNOWN-RED.txt may fail, and all of them must (table)', () => {
  for (const { name, text = '', passed = [], failed = [], problem } of CASES) {
    const { ok, lines } = evaluateOutcomes(text, {
      passed: new Set(passed),
      failed: new Set(failed),
    });
    assert.equal(ok, problem === null, `${name}: ${lines.join('; ')}`);
    if (problem !== null)
      assert.ok(
        lines.some((line) => problem.test(line)),
        name,
      );
    else
      for (const failedTest of failed)
        assert.ok(
          lines.some((line) => line.includes(failedTest)),
          `${name}: the known failure is printed`,
        );
  }
});
