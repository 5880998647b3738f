#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { requestHandOver, showDuties, withdrawHandOver } from './commands/duties.js';
import { CommandError, EXIT } from './commands/exit-codes.js';
import { loadDuties } from './config/duties.js';
import { loadOperator } from './config/operator.js';
import { ConfigError, loadPlatform } from './config/platform.js';
import { openLog } from './log.js';
import { Service } from './service.js';

interface Options {
  readonly config: string;
  readonly operator?: string;
  readonly duties?: string;
}

const version = (): string => {
  const file = new URL('../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
};

/** Runs `load` and collects what is wrong instead of stopping at the first problem. */
const attempt = <T>(problems: string[], load: () => T): T | null => {
  try {
    return load();
  } catch (error) {
    if (!(error instanceof ConfigError)) throw error;
    for (const p of error.problems) problems.push(`${error.file}: ${p}`);
    return null;
  }
};

const load = (options: Options) => {
  const problems: string[] = [];
  const platform = attempt(problems, () => loadPlatform(options.config));
  const operator = attempt(problems, () => loadOperator(options.operator));
  const duties = attempt(problems, () => loadDuties(options.duties));
  const log = attempt(problems, () => openLog(process.env['LOG_LEVEL'], platform?.node ?? ''));
  return { platform, operator, duties, log, problems };
};

const complain = (problems: readonly string[]): never => {
  for (const p of problems) process.stderr.write(`sumacstep: ${p}\n`);
  process.exit(EXIT.badInput);
};

const serve = async (options: Options): Promise<void> => {
  const { platform, operator, duties, log, problems } = load(options);
  if (problems.length > 0 || platform === null || operator === null || log === null) {
    return complain(problems);
  }
  // An error that nobody handles leaves the state unknown: say so and end.
  const fatal = (error: unknown) => {
    log.error({ err: error }, 'unhandled error');
    process.exit(1);
  };
  process.on('uncaughtException', fatal);
  process.on('unhandledRejection', fatal);
  await new Service(platform, operator, log, duties).start();
};

const check = (options: Options): void => {
  const { problems } = load(options);
  if (problems.length > 0) complain(problems);
  process.stdout.write('the settings are valid\n');
};

const program = new Command('sumacstep')
  .description('A cluster scheduler: rents machines, places jobs on them, survives failures.')
  .version(version());

const withFiles = (command: Command): Command =>
  command
    .requiredOption('--config <file>', 'settings of the platform (TOML)')
    .option('--operator <file>', "the operator's own settings (INI)")
    .option('--duties <file>', 'switches exclusive duties on, by their settings (INI)');

withFiles(program.command('serve').description('run one controller')).action(serve);
withFiles(program.command('check').description('check the settings and name every problem')).action(
  check,
);

/** Runs a command's work, and turns its failure into one line and an exit code. */
const run = async (work: () => Promise<string>): Promise<void> => {
  try {
    process.stdout.write(await work());
  } catch (error) {
    if (error instanceof ConfigError)
      return complain(error.problems.map((p) => `${error.file}: ${p}`));
    if (!(error instanceof CommandError)) throw error;
    process.stderr.write(`sumacstep: ${error.message}\n`);
    process.exitCode = error.code;
  }
};

interface CommandOptions {
  readonly config: string;
  readonly json?: boolean;
}

const withCommandOptions = (command: Command): Command =>
  command
    .requiredOption('--config <file>', 'settings of the platform (TOML)')
    .option('--json', 'print JSON');

const print = (value: unknown, text: string, json: boolean | undefined): string =>
  json === true ? `${JSON.stringify(value, null, 2)}\n` : `${text}\n`;

const duties = program.command('duties').description('exclusive duties: who holds them');

withCommandOptions(
  duties.command('show', { isDefault: true }).description('who holds which duty, until when'),
).action((options: CommandOptions) =>
  run(() => showDuties(loadPlatform(options.config), options.json === true)),
);

withCommandOptions(duties.command('hand-over <duty>'))
  .description('ask that a duty goes to another node')
  .option('--to <node>', 'the node; any other one if not given')
  .option('--id <id>', 'name of the request: asking twice with the same one is one request')
  .action((duty: string, options: CommandOptions & { to?: string; id?: string }) =>
    run(async () => {
      const id = options.id ?? `request-${Date.now().toString(36)}`;
      const config = loadPlatform(options.config);
      const output = await requestHandOver(config, duty, { to: options.to ?? null, id });
      const text = output.written ? `asked: ${id}` : `asked before: ${id}`;
      return print(output, text, options.json);
    }),
  );

withCommandOptions(duties.command('withdraw <duty>'))
  .description('take back a request that is not carried out yet')
  .action((duty: string, options: CommandOptions) =>
    run(async () => {
      const withdrawn = await withdrawHandOver(loadPlatform(options.config), duty);
      const text = withdrawn ? 'withdrawn' : 'there is no request, or it was just carried out';
      return print({ duty, withdrawn }, text, options.json);
    }),
  );

await program.parseAsync();
