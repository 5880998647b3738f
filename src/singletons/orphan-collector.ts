import { type Authorization } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import { MAX_RETURN_BATCH } from '../constants.js';
import { MAX_GUARDS_PER_WRITE } from '../store/constants.js';
import { key } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { ListedMachine } from '../wire/cloud.js';
import { ORPHAN_COLLECTOR_ROLE, type SingletonElection } from './singleton-election.js';
import type { ReturnIntents } from './return-intents.js';

/** conditions of the transaction that records returns besides those of the machines: duty and list */
const OTHER_CONDITIONS = 2;

/** What reclaiming needs of the process. */
export interface OrphanCollectorDependencies {
  readonly duties: Pick<SingletonElection, 'authorize' | 'begun'>;
  readonly intents: ReturnIntents;
  readonly cloud: Pick<CloudClient, 'returnMachines'>;
  readonly cache: WatchCache;
  /** resolves once the cache shows everything that was committed before the call */
  readonly current: () => Promise<unknown>;
  readonly log: Logger;
}

/** The duty of returning machines that no record knows: rentals that were carried out late, for instance. */
export class OrphanCollector {
  #busy = false;

  constructor(
    private readonly transactionOps: number,
    private readonly ports: OrphanCollectorDependencies,
  ) {}

  /** Whether such machines are returned by the duty's holder, and not adopted by a shard. */
  get begun(): boolean {
    return this.ports.duties.begun;
  }

  /** Whether this node is the one that returns them. */
  get held(): boolean {
    return this.ports.duties.authorize(ORPHAN_COLLECTOR_ROLE) !== null;
  }

  /**
   * Returns machines that the cloud has listed for long without any record. Resolves with those that are gone.
   * Rejects like the state service and the cloud do, and with `NotLeaderError`.
   */
  async reclaim(listed: readonly ListedMachine[]): Promise<readonly string[]> {
    const authorization = this.ports.duties.authorize(ORPHAN_COLLECTOR_ROLE);
    if (authorization === null || this.#busy) return [];
    this.#busy = true;
    try {
      return await this.#reclaim(authorization, listed);
    } finally {
      this.#busy = false;
    }
  }

  async #reclaim(
    authorization: Authorization,
    listed: readonly ListedMachine[],
  ): Promise<readonly string[]> {
    const { intents, cloud, current, log } = this.ports;
    // Every rental is recorded before its call. So once a current cache shows neither a rental of the machine's
    // kind nor the machine, none can record it any more.
    await current();
    const most = Math.min(
      MAX_RETURN_BATCH,
      this.transactionOps * MAX_GUARDS_PER_WRITE - OTHER_CONDITIONS,
    );
    const names = listed
      .filter((machine) => this.#nobodys(machine))
      .map((machine) => machine.name)
      .slice(0, most);
    if (names.length === 0) return [];
    const unadopted = names.map((name) => ({ key: key.adoptedMachineGroup(name), revision: 0 }));
    const present = new Set(listed.map((machine) => machine.name));
    const needed = (name: string) => present.has(name);
    const list = 'unrecorded';
    const recorded = await intents.record(list, authorization, names, needed, unadopted);
    if (recorded.length === 0) return [];
    await cloud.returnMachines(recorded, authorization);
    log.info({ machines: recorded, token: authorization.fencingToken }, 'machines reclaimed');
    return recorded;
  }

  #nobodys({ name, type, zone, spot }: ListedMachine): boolean {
    const { cache } = this.ports;
    if (cache.machines.has(name)) return false;
    for (const { value: rental } of cache.tables.rentals.values()) {
      if (rental.type === type && rental.zone === zone && rental.spot === spot) return false;
    }
    return true;
  }
}
