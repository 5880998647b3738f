/** Stand-in for the cloud, after the section "Controller nodes -> cloud" of the protocol. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { serve } from './http.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  /**
   * `options`: `type` (an entry of `Hosttypes`), `rps`, `listLagS`, `capacity(zone, spot)`: most machines at a time,
   * `perRental`: most machines that one request gets, `bootS(number, zone, spot)`: boot time of that machine,
   * `worker`: options of the workers.
   */
  constructor(options, record) {
    this.options = options;
    this.record = record;
    this.machines = new Map();
    this.rentals = new Map();
    this.history = [];
    this.count = 0;
    this.tokens = options.rps * 2;
    this.tokensAt = performance.now();
  }

  async start() {
    this.server = await serve((req) => this.handle(req));
    return this.server.address;
  }

  close() {
    for (const machine of this.machines.values()) this.remove(machine);
    this.server.close();
  }

  take() {
    const now = performance.now();
    const { rps } = this.options;
    this.tokens = Math.min(rps * 2, this.tokens + ((now - this.tokensAt) / 1000) * rps);
    this.tokensAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  async handle({ method, path, body, query }) {
    if (!this.take()) return { status: 429, body: { error: 'too many' } };
    await new Promise((resolve) => setTimeout(resolve, 20));
    if (path === '/machine_types') return { status: 200, body: { Hosttypes: [this.options.type] } };
    if (path === '/rentals' && method === 'GET') return this.list(query);
    if (path === '/rentals') return this.rent(body);
    for (const name of body.Hosts) {
      const machine = this.machines.get(name);
      if (machine !== undefined) this.remove(machine);
    }
    this.record(`cloud: returned ${body.Hosts.join(' ')}`);
    return { status: 200, body: {} };
  }

  rent({ Hire, Hosttype, Site, Reclaimable, Number: wanted }) {
    const known = this.rentals.get(Hire);
    if (known !== undefined) return { status: 200, body: { Hosts: known } };
    const present = [...this.machines.values()].filter(
      (m) => m.zone === Site && m.spot === Reclaimable,
    ).length;
    const free = this.options.capacity(Site, Reclaimable) - present;
    const granted = Math.min(wanted, free, this.options.perRental ?? 50);
    const kind = `${Hosttype} ${Site} ${Reclaimable ? 'spot' : 'ordinary'}`;
    if (granted <= 0) {
      this.record(`cloud: ${Hire} ${wanted} x ${kind}: no capacity`);
      return { status: 503, body: { error: 'no capacity' } };
    }
    const names = [];
    for (let i = 0; i < granted; i++) names.push(this.boot(Hosttype, Site, Reclaimable));
    this.rentals.set(Hire, names);
    this.record(`cloud: ${Hire} ${wanted} x ${kind}: ${names.join(' ')}`);
    return { status: 200, body: { Hosts: names } };
  }

  boot(type, zone, spot) {
    this.count += 1;
    const name = `vm-${String(this.count).padStart(6, '0')}`;
    const bootS = this.options.bootS(this.count, zone, spot);
    const machine = { name, type, zone, spot, rentedAt: performance.now(), goneAt: null };
    machine.capacity = this.options.type;
    machine.worker = new Worker(machine, this.options.worker, this.record);
    machine.address = null;
    machine.status = 'starting';
    machine.timer = setTimeout(() => {
      void machine.worker.start().then((address) => {
        machine.address = address;
        machine.status = 'running';
        this.record(`cloud: ${name} in ${zone} is up after ${bootS} s`);
      });
    }, bootS * 1000);
    this.machines.set(name, machine);
    this.history.push(machine);
    return name;
  }

  remove(machine) {
    clearTimeout(machine.timer);
    machine.goneAt = performance.now();
    machine.worker.kill();
    this.machines.delete(machine.name);
  }

  list(query) {
    const since = query.get('Since') ?? '';
    const limit = Math.min(500, Number(query.get('Limit') ?? 500));
    const asOf = performance.now() - this.options.listLagS * 1000;
    const hosts = this.history.filter(
      (m) => m.name > since && m.rentedAt <= asOf && (m.goneAt === null || m.goneAt > asOf),
    );
    const Hosts = hosts.slice(0, limit).map((m) => ({
      Uid: m.name,
      Address: m.address ?? '127.0.0.1:1',
      Hosttype: m.type,
      Site: m.zone,
      Reclaimable: m.spot,
      Status: m.status,
      HeldS: (asOf - m.rentedAt) / 1000,
    }));
    return { status: 200, body: { Hosts, Truncated: hosts.length > limit } };
  }
}
