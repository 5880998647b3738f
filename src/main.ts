#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { EXIT } from './commands/exit-codes.js';
import { addLeadershipCommands, addRebalancingCommands } from './commands/program.js';
import { loadSingletonsConfig } from './config/singletons.js';
import { loadRebalancingConfig } from './config/rebalancing.js';
import { loadOperatorConfig } from './config/operator.js';
import { ConfigError, loadPlatformConfig } from './config/platform.js';
import { createLogger } from './log.js';
import { Service } from './service/service.js';

interface Options {
  readonly config: string;
  readonly operator?: string;
  readonly duties?: string;
  readonly shares?: string;
}

const readVersion = (): string => {
  const file = new URL('../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
};

/** Runs `load` and collects what is wrong instead of stopping at the first problem. */
const collectProblems = <T>(problems: string[], load: () => T): T | null => {
  try {
    return load();
  } catch (error) {
    if (!(error instanceof ConfigError)) throw error;
    for (const p of error.problems) problems.push(`${error.file}: ${p}`);
    return null;
  }
};

const loadConfigs = (options: Options) => {
  const problems: string[] = [];
  const platform = collectProblems(problems, () => loadPlatformConfig(options.config));
  const operator = collectProblems(problems, () => loadOperatorConfig(options.operator));
  const duties = collectProblems(problems, () => loadSingletonsConfig(options.duties));
  const shares = collectProblems(problems, () => loadRebalancingConfig(options.shares));
  if (options.shares !== undefined && options.duties === undefined) {
    problems.push(`${options.shares}: needs --duties, since one of them moves machines`);
  }
  const log = collectProblems(problems, () =>
    createLogger(process.env['LOG_LEVEL'], platform?.node ?? ''),
  );
  return { platform, operator, features: { duties, shares }, log, problems };
};

const exitWithProblems = (problems: readonly string[]): never => {
  for (const p of problems) process.stderr.write(`sumacstep: ${p}\n`);
  process.exit(EXIT.badInput);
};

const serve = async (options: Options): Promise<void> => {
  const { platform, operator, features, log, problems } = loadConfigs(options);
  if (problems.length > 0 || platform === null || operator === null || log === null) {
    return exitWithProblems(problems);
  }
  // An error that nobody handles leaves the state unknown: say so and end.
  const fatal = (error: unknown) => {
    log.error({ err: error }, 'unhandled error');
    process.exit(1);
  };
  process.on('uncaughtException', fatal);
  process.on('unhandledRejection', fatal);
  await new Service(platform, operator, log, features).start();
};

const check = (options: Options): void => {
  const { problems } = loadConfigs(options);
  if (problems.length > 0) exitWithProblems(problems);
  process.stdout.write('the settings are valid\n');
};

const program = new Command('sumacstep')
  .description('A cluster scheduler: rents machines, places jobs on them, survives failures.')
  .version(readVersion());

const withConfigOptions = (command: Command): Command =>
  command
    .requiredOption('--config <file>', 'settings of the platform (TOML)')
    .option('--operator <file>', "the operator's own settings (INI)")
    .option('--duties <file>', 'switches exclusive duties on, by their settings (INI)')
    .option('--shares <file>', 'switches moves of machines between shards on (INI)');

withConfigOptions(program.command('serve').description('run one controller')).action(serve);
withConfigOptions(
  program.command('check').description('check the settings and name every problem'),
).action(check);

addLeadershipCommands(program);
addRebalancingCommands(program);

await program.parseAsync();
