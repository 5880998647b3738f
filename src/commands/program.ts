/** The operator's commands on the command line: arguments, options, output and exit codes. */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { parse } from 'smol-toml';
import type { MoveRequest } from '@sumacstep/shard-rebalancing';
import { ConfigError, loadPlatformConfig, type PlatformConfig } from '../config/platform.js';
import { requestTransfer, showLeadership, withdrawTransfer } from './duties.js';
import { CommandError, EXIT } from './exit-codes.js';
import {
  abortMove,
  validateRequest,
  planMove,
  requestMove,
  showShards,
  type MoveOutput,
  type PlanOutput,
} from './shares.js';

/** Options of every command. */
interface CommandOptions {
  readonly config: string;
  readonly json?: boolean;
}

/** Prints what a command resolves with; turns its failure into lines on standard error and an exit code. */
const runCommand = async (work: () => Promise<string>): Promise<void> => {
  try {
    process.stdout.write(await work());
  } catch (error) {
    const isConfigError = error instanceof ConfigError;
    if (!isConfigError && !(error instanceof CommandError)) throw error;
    const lines = isConfigError
      ? error.problems.map((problem) => `${error.file}: ${problem}`)
      : error.message.split('\n');
    for (const line of lines) process.stderr.write(`sumacstep: ${line}\n`);
    process.exitCode = isConfigError ? EXIT.badInput : error.code;
  }
};

const withCommonOptions = (command: Command): Command =>
  command
    .requiredOption('--config <file>', 'settings of the platform (TOML)')
    .option('--json', 'print JSON');

/** JSON or plain text, as the options ask for. */
const formatOutput = (value: unknown, text: string, json: boolean | undefined): string =>
  json === true ? `${JSON.stringify(value, null, 2)}\n` : `${text}\n`;

/** Adds `sumacstep duties`: show, hand-over, withdraw. */
export const addLeadershipCommands = (program: Command): void => {
  const duties = program.command('duties').description('exclusive duties: who holds them');

  withCommonOptions(
    duties.command('show', { isDefault: true }).description('who holds which duty, until when'),
  ).action((options: CommandOptions) =>
    runCommand(() => showLeadership(loadPlatformConfig(options.config), options.json === true)),
  );

  withCommonOptions(duties.command('hand-over <duty>'))
    .description('ask that a duty goes to another node')
    .option('--to <node>', 'the node; any other one if not given')
    .option('--id <id>', 'name of the request: asking twice with the same one is one request')
    .action((duty: string, options: CommandOptions & { to?: string; id?: string }) =>
      runCommand(async () => {
        const id = options.id ?? `request-${Date.now().toString(36)}`;
        const config = loadPlatformConfig(options.config);
        const output = await requestTransfer(config, duty, { to: options.to ?? null, id });
        const text = output.written ? `asked: ${id}` : `asked before: ${id}`;
        return formatOutput(output, text, options.json);
      }),
    );

  withCommonOptions(duties.command('withdraw <duty>'))
    .description('take back a request that is not carried out yet')
    .action((duty: string, options: CommandOptions) =>
      runCommand(async () => {
        const withdrawn = await withdrawTransfer(loadPlatformConfig(options.config), duty);
        const text = withdrawn ? 'withdrawn' : 'there is no request, or it was just carried out';
        return formatOutput({ duty, withdrawn }, text, options.json);
      }),
    );
};

/** Options that describe a move. A plan file names them in the same way. */
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

/** s until a move is aborted, unless an option says otherwise */
const DEFAULT_DEADLINE_S = 600;

const withMoveOptions = (command: Command): Command =>
  withCommonOptions(command)
    .option('--plan <file>', 'requests from a file (TOML): [[move]] with the same names')
    .option('--id <id>', 'name of the move: asking twice with the same one is one move')
    .option('--from <part>', 'the part that gives machines away')
    .option('--to <part>', 'the part that gets them')
    .option('--count <n>', 'how many machines')
    .option('--type <type>', 'only machines of this type')
    .option('--zone <zone>', 'only machines in this zone')
    .option('--kind <kind>', 'only `spot` or `ordinary` machines')
    .option('--within-s <s>', `seconds until the move is given up (${DEFAULT_DEADLINE_S})`)
    .option('--return-at <time>', 'time at which the machines go back, as 2026-12-03T06:00:00Z');

const IS_SPOT_BY_KIND: Readonly<Record<string, boolean>> = { spot: true, ordinary: false };

/** A request from options, not checked yet: invalid values are kept, so that the check can name them. */
const requestFromOptions = (options: Omit<MoveOptions, 'config'>, nowMs: number): unknown => {
  const toNumber = (text: string | undefined) => (text === undefined ? undefined : Number(text));
  const spot = options.kind === undefined ? null : (IS_SPOT_BY_KIND[options.kind] ?? options.kind);
  const returnAtMs = options.returnAt === undefined ? null : Date.parse(options.returnAt);
  return {
    id: options.id ?? `move-${nowMs.toString(36)}`,
    from: toNumber(options.from),
    to: toNumber(options.to),
    count: toNumber(options.count),
    filter: { type: options.type ?? null, zone: options.zone ?? null, spot },
    deadlineMs: nowMs + (toNumber(options.withinS) ?? DEFAULT_DEADLINE_S) * 1000,
    returnAtMs,
  };
};

/** The requests of a plan file, or the one that the options describe. */
const readRequests = (options: MoveOptions, nowMs: number): unknown[] => {
  if (options.plan === undefined) return [requestFromOptions(options, nowMs)];
  let raw: unknown;
  try {
    raw = parse(readFileSync(options.plan, 'utf8'));
  } catch (error) {
    const [line] = (error as Error).message.split('\n');
    throw new CommandError(EXIT.badInput, `${options.plan}: ${line}`, { cause: error });
  }
  const moves = (raw as { move?: unknown }).move;
  if (!Array.isArray(moves) || moves.length === 0) {
    throw new CommandError(EXIT.badInput, `${options.plan}: no [[move]]`);
  }
  return moves.map((move) => requestFromOptions(move as MoveOptions, nowMs));
};

/** Acts on the requests one after another, once all of them are checked. */
const forEachRequest = async <T>(
  options: MoveOptions,
  act: (config: PlatformConfig, request: MoveRequest) => Promise<T>,
): Promise<T[]> => {
  const config = loadPlatformConfig(options.config);
  const nowMs = Date.now();
  const requests = readRequests(options, nowMs).map((request) =>
    validateRequest(config, request, nowMs),
  );
  const results: T[] = [];
  for (const request of requests) results.push(await act(config, request));
  return results;
};

const formatPlan = (plan: PlanOutput): string => {
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

const formatMove = ({ move, written }: MoveOutput): string =>
  `${move.id}: ${written ? 'asked' : 'known'}, ${move.state}${move.abortAsked ? ', given up' : ''}`;

/** Adds `sumacstep shares`: show, plan, move, abort. */
export const addRebalancingCommands = (program: Command): void => {
  const shares = program.command('shares').description('machines of the parts, and their moves');

  withCommonOptions(
    shares.command('show', { isDefault: true }).description('machines by part, and moves'),
  ).action((options: CommandOptions) =>
    runCommand(() => showShards(loadPlatformConfig(options.config), options.json === true)),
  );

  withMoveOptions(
    shares.command('plan').description('what a move would do; nothing is changed'),
  ).action((options: MoveOptions) =>
    runCommand(async () => {
      const plans = await forEachRequest(options, planMove);
      return formatOutput(plans, plans.map(formatPlan).join('\n\n'), options.json);
    }),
  );

  withMoveOptions(shares.command('move').description('ask for a move')).action(
    (options: MoveOptions) =>
      runCommand(async () => {
        const moves = await forEachRequest(options, requestMove);
        return formatOutput(moves, moves.map(formatMove).join('\n'), options.json);
      }),
  );

  withCommonOptions(shares.command('abort <id>').description('give a move up')).action(
    (id: string, options: CommandOptions) =>
      runCommand(async () => {
        const output = await abortMove(loadPlatformConfig(options.config), id);
        return formatOutput(output, formatMove(output), options.json);
      }),
  );
};
