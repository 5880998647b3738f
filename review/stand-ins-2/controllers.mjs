/** Controllers as separate processes, started with the command of the deploy file. */
import { spawn } from 'node:child_process';
import process from 'node:process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { join } from 'node:path';
import { parse, stringify } from 'smol-toml';

/** Root of the repository. */
export const ROOT = join(import.meta.dirname, '../..');

const runCommand = () =>
  parse(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8')).run.split(/\s+/);

/** A TCP way between two controllers, which can be cut. */
export class PeerWay {
  sockets = new Set();
  cut = false;

  async open(target) {
    const [host, port] = target.split(':');
    this.server = createServer((client) => {
      if (this.cut) {
        client.destroy();
        return;
      }
      const upstream = connect(port, host);
      for (const [from, to] of [
        [client, upstream],
        [upstream, client],
      ]) {
        this.sockets.add(from);
        from.on('error', () => to.destroy());
        from.on('close', () => {
          this.sockets.delete(from);
          to.destroy();
        });
        from.pipe(to);
      }
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  setCut(cut) {
    this.cut = cut;
    if (cut) for (const socket of this.sockets) socket.destroy();
  }

  close() {
    this.setCut(true);
    this.server.close();
  }
}

export class Controller {
  process = null;
  crashes = 0;
  starts = 0;

  constructor(name, config, folder, world, env = {}) {
    Object.assign(this, { name, folder, world, env });
    this.file = join(folder, `${name}.toml`);
    writeFileSync(this.file, stringify(config));
    this.logFile = join(folder, `${name}.log`);
    this.log = createWriteStream(this.logFile, { flags: 'a' });
  }

  start() {
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, this.file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info', ...this.env },
    });
    child.stderr.pipe(this.log, { end: false });
    this.process = child;
    this.starts += 1;
    this.world.log(`start ${this.name}`);
    child.once('exit', (code, signal) => {
      if (this.process !== child) return;
      this.process = null;
      this.crashes += 1;
      this.world.breakRule('process', `${this.name} ended by itself (${code ?? signal})`);
      this.onCrash?.();
    });
  }

  kill() {
    const child = this.process;
    this.process = null;
    if (child === null) return Promise.resolve();
    this.world.log(`kill ${this.name}`);
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    return ended;
  }

  freeze(frozen) {
    this.world.log(`${frozen ? 'freeze' : 'resume'} ${this.name}`);
    this.process?.kill(frozen ? 'SIGSTOP' : 'SIGCONT');
  }
}
