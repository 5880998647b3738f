import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluateOutcomes } from './runner/known-red.js';

/** Only what is listed may fail, and all that is listed must. */
const LINE = (name: string) => `${name} | npm test, seed 1 | what was seen | issue 1`;

const CASES: readonly {
  readonly name: string;
  readonly text?: string;
  readonly passed?: readonly string[];
  readonly failed?: readonly string[];
  /** null: the verdict is good */
  readonly problem: RegExp | null;
}[] = [
  { name: 'no list, all pass', passed: ['a'], problem: null },
  { name: 'no list, one fails', failed: ['a'], problem: /^failed: a$/ },
  { name: 'the listed one fails', text: LINE('a > b'), failed: ['a > b'], problem: null },
  { name: 'another one fails too', text: LINE('a'), failed: ['a', 'b'], problem: /^failed: b$/ },
  { name: 'the listed one passes', text: LINE('a'), passed: ['a'], problem: /passes: a$/ },
  { name: 'the listed one is not there', text: LINE('a'), passed: ['b'], problem: /not run: a$/ },
  {
    name: 'three fail',
    text: ['# a note', LINE('a'), '', LINE('b'), LINE('c')].join('\n'),
    failed: ['a', 'b', 'c'],
    problem: null,
  },
  {
    name: 'four fail',
    text: ['a', 'b', 'c', 'd'].map(LINE).join('\n'),
    failed: ['a', 'b', 'c', 'd'],
    problem: /at most 3/,
  },
  ...[
    { name: 'without a test', text: ' | npm test | seen | issue 1', lacks: 'test' },
    { name: 'without a command', text: 'a | | seen | issue 1', lacks: 'command and seed' },
    { name: 'without what was seen', text: 'a | npm test | | issue 1', lacks: 'what was seen' },
    { name: 'without its issue', text: 'a | npm test | seen', lacks: 'issue' },
    { name: 'in the earlier form', text: 'a | cause | issue 1', lacks: 'issue' },
  ].map(({ name, text, lacks }) => ({
    name: `an entry ${name}`,
    text,
    failed: ['a'],
    problem: new RegExp(`lacks ${lacks}, not "test`),
  })),
  {
    name: 'an entry with a field too many',
    text: `${LINE('a')} | more`,
    failed: ['a'],
    problem: /too many fields, not "test/,
  },
];

test('failures judged by KNOWN-RED.txt: table', () => {
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
      for (const test of failed)
        assert.ok(
          lines.some((l) => l.includes(test)),
          `${name}: named`,
        );
  }
});
