/** Runs the operator's commands as an operator does: the built program, with settings of its own. */
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';

/** The program as an operator starts it. */
const PROGRAM = join(import.meta.dirname, '../../../main.js');

const platformSettings = (state: string): unknown => ({
  node: 'n0',
  site: 'z',
  serve_on: '127.0.0.1:1',
  peer_bind: '127.0.0.1:2',
  known: ['n1', 'n2'].map((node) => ({ node, site: 'z', endpoint: '127.0.0.1:3' })),
  services: { cloud: '127.0.0.1:4', state },
  settings: {
    nodes: 3,
    zones: ['z'],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 10, gang_peer_s: 2, cancel_s: 20 },
    state: { rps: 600, write_rps: 300, value_kb: 8, txn_ops: 8 },
    cloud: { rps: 60, list_lag_s: 0.2 },
    quota: { cores: 1, memory_mb: 200, max_sockets: 1000 },
  },
});

/** What a run of the program printed, and its exit code. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the program with settings whose store is at the address. */
export const withCommands = async (
  state: string,
  command: 'duties' | 'shares',
  use: (run: (...args: string[]) => Promise<CommandResult>) => Promise<void>,
): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'duties-'));
  const config = join(folder, 'platform.toml');
  writeFileSync(config, stringify(platformSettings(state)));
  const run = (...args: string[]): Promise<CommandResult> =>
    new Promise((resolve) => {
      const all = [PROGRAM, command, ...args, '--config', config];
      execFile(process.execPath, all, (error, out, err) => {
        resolve({
          exitCode: typeof error?.code === 'number' ? error.code : 0,
          stdout: out,
          stderr: err,
        });
      });
    });
  try {
    await use(run);
  } finally {
    rmSync(folder, { recursive: true });
  }
};
