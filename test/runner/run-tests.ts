/**
 * Runs all tests of the folders that are given as arguments and prints them as the runner's `spec` reporter does. The
 * exit code is 0 if at least one test passed and exactly the tests failed that KNOWN-RED.txt in the working directory
 * lists; without that file none may fail.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { evaluateOutcomes } from './known-red.js';

const KNOWN_RED = 'KNOWN-RED.txt';

const folders = process.argv.slice(2);
if (folders.length === 0) throw new Error('usage: run-tests FOLDER [FOLDER ...]');
const files = folders.flatMap((folder) =>
  readdirSync(folder)
    .filter((name) => name.endsWith('.test.js'))
    .map((name) => join(folder, name)),
);

const passed = new Set<string>();
const failed = new Set<string>();
/** names of the suites around the current test, by nesting, for each file */
const groupNames = new Map<string, string[]>();

const stream = run({ files, concurrency: true });
stream.on('test:start', ({ name, nesting, file }) => {
  const path = groupNames.get(file ?? '') ?? [];
  path.length = nesting;
  path[nesting] = name;
  groupNames.set(file ?? '', path);
});
/** Returns the names of a test's suites and its own, joined by ` > `. */
const fullName = ({ name, nesting, file }: { name: string; nesting: number; file?: string }) =>
  [...(groupNames.get(file ?? '') ?? []).slice(0, nesting), name].join(' > ');
stream.on('test:pass', (event) => passed.add(fullName(event)));
stream.on('test:fail', (event) => {
  // A suite fails whenever one of its tests fails; only the tests count.
  const { failureType } = event.details.error as { failureType?: string };
  if (failureType !== 'subtestsFailed') failed.add(fullName(event));
});
// The run counts as failed if the process exits before the stream reports the end.
process.exitCode = 1;
stream.on('end', () => {
  const text = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
  const { ok, lines } = evaluateOutcomes(text, { passed, failed });
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exitCode = ok && passed.size > 0 ? 0 : 1;
});
stream.compose(new spec()).pipe(process.stdout);
