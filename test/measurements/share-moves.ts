/**
 * Moves machines between shards every few seconds under faults, and checks that every job is done and no rule is
 * broken. Usage:
 * share-moves SECONDS REPORT.html SEED [SEED ...]
 */
import { writeFileSync } from 'node:fs';
import { MachineMovesRun } from '../standins/machine-moves.js';
import { htmlReport, machineText, Series } from './report.js';

const MOVE_INTERVAL_S = 3;

const [secondsText = '600', file = 'target/share-moves.html', ...seedTexts] = process.argv.slice(2);
const seconds = Number(secondsText);
const seeds = seedTexts.length > 0 ? seedTexts.map(Number) : [1];

const durations = new Series('from request to end');
const pauses = new Series("from the transaction to the worker's knowledge of it");
const totals: Record<string, number> = {};
const failures: string[] = [];
for (const seed of seeds) {
  const run = await new MachineMovesRun({
    seed,
    durationS: seconds,
    moveIntervalS: MOVE_INTERVAL_S,
    faults: true,
  }).run();
  for (const ms of run.moveDurationsMs) durations.add(ms);
  for (const ms of run.pausesMs) pauses.add(ms);
  for (const [name, count] of Object.entries(run.counts)) {
    totals[name] = (totals[name] ?? 0) + count;
  }
  failures.push(...run.violations, ...run.unfinished);
}
const plots = [
  { title: 'Duration of a move', unit: 'ms', series: [durations] },
  { title: 'Pause in starts on a moved machine', unit: 'ms', series: [pauses] },
];
const settings = {
  seconds,
  seeds: seeds.join(' '),
  'a move each': `${MOVE_INTERVAL_S} s`,
  controllers: 3,
};
const counts = { ...totals, 'broken or unfinished': failures.length };
writeFileSync(file, await htmlReport('Moves of shares under faults', settings, plots, counts));
for (const series of [durations, pauses]) {
  process.stdout.write(`${JSON.stringify(series.summary())}\n`);
}
process.stdout.write(`${JSON.stringify({ machine: machineText(), ...settings, ...counts })}\n`);
for (const what of failures) process.stdout.write(`${what}\n`);
process.exit(failures.length > 0 ? 1 : 0);
