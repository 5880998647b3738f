import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { parse } from 'smol-toml';
import { ConfigError, loadPlatformConfig } from '../config/platform.js';
import { requestTransfer, showLeadership, withdrawTransfer } from './duties.js';
import { CommandError, EXIT } from './exit-codes.js';
import {
  abortMove,
  checkRequest,
  planMove,
  requestMove,
  showShards,
  type MoveOutput,
  type PlanOutput,
} from './shares.js';

/** The operator's commands, as the command line names them. */

interface CommandOptions {
  readonly config: string;
  readonly json?: boolean;
}

/** Runs a command's work, and turns its failure into lines on standard error and an exit code. */
const run = async (work: () => Promise<string>): Promise<void> => {
  try {
    process.stdout.write(await work());
  } catch (error) {
    const settings = error instanceof ConfigError;
    if (!settings && !(error instanceof CommandError)) throw error;
    const lines = settings
      ? error.problems.map((problem) => `${error.file}: ${problem}`)
      : error.message.split('\n');
    for (const line of lines) process.stderr.write(`sumacstep: ${line}\n`);
    process.exitCode = settings ? EXIT.badInput : error.code;
  }
};

const withCommandOptions = (command: Command): Command =>
  command
    .requiredOption('--config <file>', 'settings of the platform (TOML)')
    .option('--json', 'print JSON');

const print = (value: unknown, text: string, json: boolean | undefined): string =>
  json === true ? `${JSON.stringify(value, null, 2)}\n` : `${text}\n`;

/** `sumacstep duties`: show, hand-over, withdraw. */
export const addDutyCommands = (program: Command): void => {
  const duties = program.command('duties').description('exclusive duties: who holds them');

  withCommandOptions(
    duties.command('show', { isDefault: true }).description('who holds which duty, until when'),
  ).action((options: CommandOptions) =>
    run(() => showLeadership(loadPlatformConfig(options.config), options.json === true)),
  );

  withCommandOptions(duties.command('hand-over <duty>'))
    .description('ask that a duty goes to another node')
    .option('--to <node>', 'the node; any other one if not given')
    .option('--id <id>', 'name of the request: asking twice with the same one is one request')
    .action((duty: string, options: CommandOptions & { to?: string; id?: string }) =>
      run(async () => {
        const id = options.id ?? `request-${Date.now().toString(36)}`;
        const config = loadPlatformConfig(options.config);
        const output = await requestTransfer(config, duty, { to: options.to ?? null, id });
        const text = output.written ? `asked: ${id}` : `asked before: ${id}`;
        return print(output, text, options.json);
      }),
    );

  withCommandOptions(duties.command('withdraw <duty>'))
    .description('take back a request that is not carried out yet')
    .action((duty: string, options: CommandOptions) =>
      run(async () => {
        const withdrawn = await withdrawTransfer(loadPlatformConfig(options.config), duty);
        const text = withdrawn ? 'withdrawn' : 'there is no request, or it was just carried out';
        return print({ duty, withdrawn }, text, options.json);
      }),
    );
};

interface MoveOptions extends CommandOptions {
  readonly plan?: string;
  readonly id?: string;
  readonly from?: string;
  readonly to?: string;
  readonly count?: string;
  readonly type?: string;
  readonly zone?: string;
  readonly kind?: string;
  readonly withinS?: string;
  readonly returnAt?: string;
}

/** s that a move may take if nothing else is asked for */
const WITHIN_S = 600;

const withMoveOptions = (command: Command): Command =>
  withCommandOptions(command)
    .option('--plan <file>', 'requests from a file (TOML): [[move]] with the same names')
    .option('--id <id>', 'name of the move: asking twice with the same one is one move')
    .option('--from <part>', 'the part that gives machines away')
    .option('--to <part>', 'the part that gets them')
    .option('--count <n>', 'how many machines')
    .option('--type <type>', 'only machines of this type')
    .option('--zone <zone>', 'only machines in this zone')
    .option('--kind <kind>', 'only `spot` or `ordinary` machines')
    .option('--within-s <s>', `seconds until the move is given up (${WITHIN_S})`)
    .option('--return-at <time>', 'time at which the machines go back, as 2026-12-03T06:00:00Z');

const KINDS: Readonly<Record<string, boolean>> = { spot: true, ordinary: false };

/** The fields of a request as the command line or a plan gives them; what is no number stays visible as it is. */
const requestOf = (options: Omit<MoveOptions, 'config'>, nowMs: number): unknown => {
  const number = (text: string | undefined) => (text === undefined ? undefined : Number(text));
  const spot = options.kind === undefined ? null : (KINDS[options.kind] ?? options.kind);
  const returnAtMs = options.returnAt === undefined ? null : Date.parse(options.returnAt);
  return {
    id: options.id ?? `move-${nowMs.toString(36)}`,
    from: number(options.from),
    to: number(options.to),
    count: number(options.count),
    filter: { type: options.type ?? null, zone: options.zone ?? null, spot },
    deadlineMs: nowMs + (number(options.withinS) ?? WITHIN_S) * 1000,
    returnAtMs,
  };
};

const requestsOf = (options: MoveOptions, nowMs: number): unknown[] => {
  if (options.plan === undefined) return [requestOf(options, nowMs)];
  let raw: unknown;
  try {
    raw = parse(readFileSync(options.plan, 'utf8'));
  } catch (error) {
    const [line] = (error as Error).message.split('\n');
    throw new CommandError(EXIT.badInput, `${options.plan}: ${line}`);
  }
  const moves = (raw as { move?: unknown }).move;
  if (!Array.isArray(moves) || moves.length === 0) {
    throw new CommandError(EXIT.badInput, `${options.plan}: no [[move]]`);
  }
  return moves.map((move) => requestOf(move as MoveOptions, nowMs));
};

/** Every request is checked before the first one is acted on. */
const forEachRequest = async <T>(
  options: MoveOptions,
  act: (
    config: ReturnType<typeof loadPlatformConfig>,
    request: ReturnType<typeof checkRequest>,
  ) => Promise<T>,
): Promise<T[]> => {
  const config = loadPlatformConfig(options.config);
  const nowMs = Date.now();
  const requests = requestsOf(options, nowMs).map((r) => checkRequest(config, r, nowMs));
  const results: T[] = [];
  for (const request of requests) results.push(await act(config, request));
  return results;
};

const planText = (plan: PlanOutput): string => {
  const { request, matching, lacking, renewsTerm, teamsOfSource, jobsInSource } = plan;
  const lines = [
    `${request.count} of ${matching.length} machines would move from part ${request.from} to part ${request.to}; no task is stopped`,
    `${jobsInSource} jobs have tasks in part ${request.from}`,
  ];
  if (lacking > 0) lines.push(`${lacking} machines are lacking: the move would wait for them`);
  if (renewsTerm) lines.push(`part ${request.to} gets a newer term: its machines answer anew`);
  if (teamsOfSource.length > 0) lines.push(`teams that lose room: ${teamsOfSource.join(', ')}`);
  if (plan.heldBy !== null) lines.push(`refused now: ${plan.heldBy} holds one of the parts`);
  if (plan.obstacle !== null) lines.push(`waits for ${plan.obstacle}`);
  return lines.join('\n');
};

const moveText = ({ move, written }: MoveOutput): string =>
  `${move.id}: ${written ? 'asked' : 'known'}, ${move.state}${move.abortAsked ? ', given up' : ''}`;

/** `sumacstep shares`: show, plan, move, abort. */
export const addShareCommands = (program: Command): void => {
  const shares = program.command('shares').description('machines of the parts, and their moves');

  withCommandOptions(
    shares.command('show', { isDefault: true }).description('machines by part, and moves'),
  ).action((options: CommandOptions) =>
    run(() => showShards(loadPlatformConfig(options.config), options.json === true)),
  );

  withMoveOptions(
    shares.command('plan').description('what a move would do; nothing is changed'),
  ).action((options: MoveOptions) =>
    run(async () => {
      const plans = await forEachRequest(options, planMove);
      return print(plans, plans.map(planText).join('\n\n'), options.json);
    }),
  );

  withMoveOptions(shares.command('move').description('ask for a move')).action(
    (options: MoveOptions) =>
      run(async () => {
        const moves = await forEachRequest(options, requestMove);
        return print(moves, moves.map(moveText).join('\n'), options.json);
      }),
  );

  withCommandOptions(shares.command('abort <id>').description('give a move up')).action(
    (id: string, options: CommandOptions) =>
      run(async () => {
        const output = await abortMove(loadPlatformConfig(options.config), id);
        return print(output, moveText(output), options.json);
      }),
  );
};
