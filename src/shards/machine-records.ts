import { fencedCompareAndSwap } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import { GROUP_BYTES, HOST_BYTES, MACHINES_MS, RETURNED_KEPT } from './constants.js';
import type { MachineState } from '../core/shard/types.js';
import type { OwnedShard } from './owned-shard.js';
import { CALL_PRIORITY, StoreRequestError, type StoreClient } from '../store/store-client.js';
import { encodeMachineGroup, key, type RentalRecord, type MachineGroup } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '../wire/schemas.js';

/** Where machines move to, and what is written along with it. */
export interface MoveTarget {
  readonly shard: number;
  readonly term: number;
  /** the target shard's record as it is known */
  readonly condition: Guard;
  /** the group that they come into */
  readonly group: string;
  readonly guards: readonly Guard[];
  readonly writes: (moved: readonly string[]) => readonly Write[];
}

/** writes of a move besides the groups that machines leave: their new group, and the move itself */
const MOVE_WRITES = 2;

/**
 * The machine records of the shards that this node owns. They are kept by group, one group a rental,
 * so that a wave of boots or returns costs a few writes instead of one a machine. All changes of a
 * shard's groups go through here, one transaction at a time, so that none undoes another.
 */
export class MachineRecords {
  readonly #busy = new Set<number>();
  readonly #last = new Map<number, number>();
  /** returned, with an answer, the latest last: late lists and reports must not bring them back */
  readonly #returned = new Set<string>();
  /** of these, the ones whose records still have to go */
  readonly #toDrop = new Set<string>();

  constructor(
    private readonly config: PlatformConfig,
    private readonly client: Pick<StoreClient, 'compareAndSwap'>,
    private readonly cache: WatchCache,
    /** resolves once the cache shows everything that was committed before the call */
    private readonly current: () => Promise<unknown>,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** The cloud has answered that these are gone. */
  returned(names: readonly string[]): void {
    for (const n of names) {
      this.#returned.add(n);
      this.#toDrop.add(n);
    }
    for (const n of this.#returned) {
      if (this.#returned.size <= RETURNED_KEPT) break;
      this.#returned.delete(n);
    }
  }

  isReturned(name: string): boolean {
    return this.#returned.has(name);
  }

  /** Writes what differs: machines that are up and not recorded so, records of returned ones. */
  async tick(index: number, owned: OwnedShard, now: number): Promise<void> {
    if (this.#busy.has(index) || now - (this.#last.get(index) ?? -Infinity) < MACHINES_MS) return;
    const up = owned.shard.newlyReadyMachines();
    const changed = this.#changes(index, up);
    if (changed.size === 0) return;
    const writes: Write[] = [];
    const guards: Guard[] = [];
    for (const [id, { revision, group }] of changed) {
      guards.push({ key: key.machineGroup(id), revision });
      if (group.machines.size === 0) writes.push({ drop: key.machineGroup(id) });
      else writes.push({ put: key.machineGroup(id), value: encodeMachineGroup(group) });
    }
    const done = await this.#write(index, owned, up.length > 0, guards, writes);
    if (!done) return;
    const written = new Set(
      [...changed.values()].flatMap(({ group }) => [...group.machines.keys()]),
    );
    for (const m of up) {
      if (written.has(m.record.name)) {
        this.log.info({ machine: m.record.name, shard: index }, 'up');
      }
    }
  }

  #changes(
    index: number,
    up: readonly MachineState[],
  ): Map<string, { revision: number; group: MachineGroup }> {
    const most = this.config.storeLimits.transactionOps;
    const changed = new Map<
      string,
      { revision: number; hosts: Map<string, boolean>; group: MachineGroup }
    >();
    const edit = (name: string): Map<string, boolean> | null => {
      const at = this.cache.machines.get(name);
      if (at?.value.shard !== index) return null;
      let entry = changed.get(at.group);
      if (entry === undefined) {
        const record = this.cache.tables.machineGroups.get(at.group);
        if (record === undefined || changed.size >= most) return null;
        const hosts = new Map(record.value.machines);
        entry = { revision: record.revision, hosts, group: { ...record.value, machines: hosts } };
        changed.set(at.group, entry);
      }
      return entry.hosts;
    };
    for (const m of up) edit(m.record.name)?.set(m.record.name, true);
    for (const name of this.#toDrop) {
      if (!this.cache.machines.has(name)) this.#toDrop.delete(name);
      else edit(name)?.delete(name);
    }
    return changed;
  }

  async #write(
    index: number,
    { authorization }: OwnedShard,
    urgent: boolean,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<boolean> {
    this.#busy.add(index);
    try {
      const cls = urgent ? CALL_PRIORITY.completion : CALL_PRIORITY.background;
      const result = await fencedCompareAndSwap(this.client, authorization, cls, guards, writes);
      if (result.ok) this.cache.applyOwn(writes, result.epoch);
      return result.ok;
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.log.debug({ shard: index, error: error.message }, 'machine records not written');
      return false;
    } finally {
      this.#busy.delete(index);
      this.#last.set(index, this.now());
    }
  }

  /** Records the machines of an answered hire and drops the hire, in one transaction. */
  async hired(owned: OwnedShard, rental: RentalRecord, names: readonly string[]): Promise<void> {
    const { shard, type, zone, spot } = rental;
    const fresh = names.filter((n) => !this.cache.machines.has(n));
    const hosts = new Map(fresh.map((n) => [n, false]));
    const group: MachineGroup = {
      shard,
      term: owned.shard.term,
      type,
      zone,
      spot,
      machines: hosts,
    };
    const writes: Write[] = [{ drop: key.rental(shard, rental.name) }];
    const guards: Guard[] = [];
    if (hosts.size > 0) {
      writes.push({ put: key.machineGroup(rental.name), value: encodeMachineGroup(group) });
      guards.push({ key: key.machineGroup(rental.name), revision: 0 });
      guards.push({
        key: key.rental(shard, rental.name),
        revision: this.#rentalRevision(shard, rental.name),
      });
    }
    const { authorization } = owned;
    const result = await fencedCompareAndSwap(
      this.client,
      authorization,
      CALL_PRIORITY.completion,
      guards,
      writes,
    );
    if (result.ok) this.cache.applyOwn(writes, result.epoch);
  }

  #rentalPending({ type, zone, spot }: { type: string; zone: string; spot: boolean }): boolean {
    for (const { value: h } of this.cache.tables.rentals.values()) {
      if (h.type === type && h.zone === zone && h.spot === spot) return true;
    }
    return false;
  }

  #rentalRevision(shard: number, name: string): number {
    return this.cache.tables.rentals.get(`${shard}/${name}`)?.revision ?? 0;
  }

  /**
   * Takes a machine that is in no record into a group of its own. A hire that is not settled may be about
   * to record it for another shard, and with two records two owners would have it
   * (docs/incidents/2026-12-02-two-records.md). Every hire is recorded before its call, so once a current
   * cache shows neither a hire of the machine's kind nor the machine, none can record it any more.
   */
  async adopt(
    owned: OwnedShard,
    machine: Omit<MachineGroup, 'term' | 'machines'>,
    name: string,
    conditions: readonly Guard[] = [],
  ): Promise<void> {
    await this.current();
    if (this.cache.machines.has(name) || this.#rentalPending(machine)) return;
    const hosts = new Map([[name, false]]);
    const group: MachineGroup = { ...machine, term: owned.shard.term, machines: hosts };
    const adopted = key.adoptedMachineGroup(name);
    const writes: Write[] = [{ put: adopted, value: encodeMachineGroup(group) }];
    const guards = [{ key: adopted, revision: 0 }, ...conditions];
    const { authorization } = owned;
    const result = await fencedCompareAndSwap(
      this.client,
      authorization,
      CALL_PRIORITY.background,
      guards,
      writes,
    );
    if (!result.ok) return;
    this.cache.applyOwn(writes, result.epoch);
    this.log.info({ machine: name, shard: machine.shard }, 'machine adopted');
  }

  /**
   * Moves machines on which nothing is, and where nothing may arrive any more, to another shard in one
   * transaction. As many as it holds go; resolves with their names, none if the records have changed.
   */
  async move(
    owned: OwnedShard,
    names: readonly string[],
    target: MoveTarget,
  ): Promise<readonly string[]> {
    const { index } = owned.shard;
    if (this.#busy.has(index)) return [];
    const { groups, moved } = this.#leavingGroups(index, names);
    const first = moved[0];
    if (first === undefined) return [];
    const { type, zone, spot } = this.cache.machines.get(first)!.value;
    const hosts = new Map(moved.map((name) => [name, true]));
    const group: MachineGroup = {
      shard: target.shard,
      term: target.term,
      type,
      zone,
      spot,
      machines: hosts,
    };
    const put: Write = { put: key.machineGroup(target.group), value: encodeMachineGroup(group) };
    const writes = [...groups.map((g) => g.write), put, ...target.writes(moved)];
    const guards = [
      target.condition,
      { key: key.machineGroup(target.group), revision: 0 },
      ...groups.map((g) => g.condition),
      ...target.guards,
    ];
    return (await this.#write(index, owned, true, guards, writes)) ? moved : [];
  }

  /** The machines of one kind, of as many groups as a transaction holds, and these groups without them. */
  #leavingGroups(index: number, names: readonly string[]) {
    const most = this.config.storeLimits.transactionOps - MOVE_WRITES;
    const room = (this.config.storeLimits.valueBytes - GROUP_BYTES) / HOST_BYTES;
    const groups = new Map<string, { revision: number; value: MachineGroup; leave: string[] }>();
    const moved: string[] = [];
    let kind: string | null = null;
    for (const name of names) {
      const at = this.cache.machines.get(name);
      const record = at === undefined ? undefined : this.cache.tables.machineGroups.get(at.group);
      if (at?.value.shard !== index || record === undefined || moved.length >= room) continue;
      const { type, zone, spot } = at.value;
      kind ??= `${type} ${zone} ${spot}`;
      if (kind !== `${type} ${zone} ${spot}`) continue;
      if (!groups.has(at.group) && groups.size >= most) continue;
      const { revision, value } = record;
      const entry = groups.get(at.group) ?? { revision, value, leave: [] };
      entry.leave.push(name);
      groups.set(at.group, entry);
      moved.push(name);
    }
    const changes = [...groups].map(([id, { revision, value, leave }]) => {
      const hosts = new Map([...value.machines].filter(([name]) => !leave.includes(name)));
      const name = key.machineGroup(id);
      const write: Write =
        hosts.size === 0
          ? { drop: name }
          : { put: name, value: encodeMachineGroup({ ...value, machines: hosts }) };
      return { condition: { key: name, revision }, write };
    });
    return { groups: changes, moved };
  }
}
