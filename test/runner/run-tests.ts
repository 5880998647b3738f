import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { evaluateOutcomes } from './known-red.js';

/**
 * Runs all tests of the folders that are given, prints them as the runner's `spec` reporter does, and judges
 * the failures by KNOWN-RED.txt in the working directory if there is one.
 */
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
/** names of the groups round the present test, by nesting, for each file */
const groupNames = new Map<string, string[]>();

const stream = run({ files, concurrency: true });
stream.on('test:start', ({ name, nesting, file }) => {
  const path = groupNames.get(file ?? '') ?? [];
  path.length = nesting;
  path[nesting] = name;
  groupNames.set(file ?? '', path);
});
const fullName = ({ name, nesting, file }: { name: string; nesting: number; file?: string }) =>
  [...(groupNames.get(file ?? '') ?? []).slice(0, nesting), name].join(' > ');
stream.on('test:pass', (event) => passed.add(fullName(event)));
stream.on('test:fail', (event) => {
  // A group fails with each of its tests: those count.
  const { failureType } = event.details.error as { failureType?: string };
  if (failureType !== 'subtestsFailed') failed.add(fullName(event));
});
// Stays red if the run ends before its end is told.
process.exitCode = 1;
stream.on('end', () => {
  const text = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
  const { ok, lines } = evaluateOutcomes(text, { passed, failed });
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exitCode = ok && passed.size > 0 ? 0 : 1;
});
stream.compose(new spec()).pipe(process.stdout);
