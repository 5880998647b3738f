/** Stand-in for the cloud. */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { serve, sleep } from './wire.mjs';
import { TokenBucket } from './store.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  machines = new Map();
  hires = new Map();
  count = 0;
  out = false;
  /** most machines at a time */
  most = Infinity;
  bootMs = () => 1000;
  /** ms by which returns are held up, unanswered */
  holdReturnsMs = 0;
  /** ms by which rentals are held up, unanswered */
  holdRentalsMs = 0;
  onBoot = () => undefined;

  constructor(types, context) {
    this.types = types;
    this.context = context;
    const { rps, list_lag_s: lagS } = context.settings.cloud;
    // Bursts worth two seconds are allowed.
    this.calls = new TokenBucket(rps, 2 * rps);
    this.lagMs = lagS * 1000;
    this.snapshots = [{ at: performance.now(), hosts: [] }];
    this.timer = setInterval(() => this.snapshot(), 250);
  }

  async open() {
    this.server = await serve((request) => this.handle(request));
    this.address = this.server.address;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const name of [...this.machines.keys()]) this.remove(name);
  }

  async handle(request) {
    if (this.out) return { status: 503, body: { error: 'trouble' } };
    if (!this.calls.take(1)) return { status: 429, body: { error: 'too many' } };
    const { method, path, body, query } = request;
    if (path === '/machine_types') return { status: 200, body: { Hosttypes: this.types } };
    if (path === '/rentals' && method === 'GET') return this.list(query);
    if (path === '/rentals') {
      if (this.holdRentalsMs > 0) {
        setTimeout(() => this.rent(body), this.holdRentalsMs);
        return null;
      }
      return this.rent(body);
    }
    if (this.holdReturnsMs > 0) {
      await sleep(this.holdReturnsMs);
      for (const name of body.Hosts) this.remove(name);
      return null;
    }
    for (const name of body.Hosts) this.remove(name);
    return { status: 200, body: {} };
  }

  rent({ Hire: hire, Hosttype: type, Site: zone, Reclaimable: spot, Number: number }) {
    const known = this.hires.get(hire);
    if (known !== undefined) return { status: 200, body: { Hosts: known } };
    const granted = Math.min(number, this.most - this.machines.size);
    if (granted <= 0) {
      this.context.world.log(`rental ${hire} of ${number} ${type}: no capacity`);
      return { status: 503, body: { error: 'no capacity' } };
    }
    const hosts = [];
    for (let i = 0; i < granted; i++) {
      this.count += 1;
      const name = `vm-${String(this.count).padStart(6, '0')}`;
      hosts.push(name);
      void this.boot(name, { type, zone, spot });
    }
    this.hires.set(hire, hosts);
    this.context.world.log(
      `rental ${hire} of ${number} ${spot ? 'spot ' : ''}${type}: ${hosts.join()}`,
    );
    return { status: 200, body: { Hosts: hosts } };
  }

  async boot(name, kind) {
    const capacity = this.types.find(({ Label: label }) => label === kind.type);
    const worker = new Worker(name, { ...kind, capacity }, this.context);
    const machine = {
      kind,
      worker,
      status: 'starting',
      rentedAt: performance.now(),
      address: null,
    };
    this.machines.set(name, machine);
    await sleep(this.bootMs());
    if (this.machines.get(name) !== machine) return;
    await worker.open();
    if (this.machines.get(name) !== machine) return worker.close();
    machine.status = 'running';
    machine.address = worker.address;
    this.context.world.log(`up ${name} ${kind.zone}${kind.spot ? ' spot' : ''}`);
    this.onBoot(worker);
    return undefined;
  }

  remove(name) {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.machines.delete(name);
    this.context.world.log(`gone ${name}`);
    if (machine.status === 'running') machine.worker.close();
    machine.worker.gone = true;
  }

  /** Keeps what the list shows once it has caught up with this moment. */
  snapshot() {
    const now = performance.now();
    const hosts = [...this.machines].map(([name, { kind, status, address, rentedAt }]) => ({
      Uid: name,
      Address: address,
      Hosttype: kind.type,
      Site: kind.zone,
      Reclaimable: kind.spot,
      Status: status,
      HeldS: (now - rentedAt) / 1000,
    }));
    this.snapshots.push({ at: now, hosts });
    while (this.snapshots.length > 1 && this.snapshots[1].at <= now - this.lagMs)
      this.snapshots.shift();
  }

  list(query) {
    const since = query.get('Since') ?? '';
    const limit = Number(query.get('Limit') ?? 500);
    const hosts = this.snapshots[0].hosts.filter(({ Uid: name }) => name > since);
    const shown = hosts.sort((a, b) => (a.Uid < b.Uid ? -1 : 1)).slice(0, limit);
    return { status: 200, body: { Hosts: shown, Truncated: hosts.length > limit } };
  }

  get workers() {
    return [...this.machines.values()]
      .filter(({ status }) => status === 'running')
      .map(({ worker }) => worker);
  }
}
