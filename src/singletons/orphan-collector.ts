/** Orphan collection: returns machines that no record knows, for instance from rentals that were carried out late. */
import type { Authorization } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import { MAX_MACHINES_PER_RETURN } from '../constants.js';
import { MAX_GUARDS_PER_WRITE } from '../store/constants.js';
import { storeKey } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { ListedMachine } from '../wire/cloud.js';
import type { ReturnIntents } from './return-intents.js';
import { ORPHAN_COLLECTOR_ROLE } from './roles.js';
import type { SingletonElection } from './singleton-election.js';

/** guards of the transaction that records intents besides those of the machines: the leader record and the list */
const OTHER_GUARDS = 2;

/** Orphan collection, where it is switched on, and the write-ahead intents that it reads and writes. */
export interface OrphanCollection {
  readonly collector: OrphanCollector;
  readonly intents: ReturnIntents;
}

/** What orphan collection needs of the process. */
export interface OrphanCollectorDependencies {
  readonly election: Pick<SingletonElection, 'authorize' | 'electionActive'>;
  readonly intents: ReturnIntents;
  readonly cloud: Pick<CloudClient, 'returnMachines'>;
  readonly cache: WatchCache;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitUntilCurrent: () => Promise<unknown>;
  readonly log: Logger;
}

/** The singleton controller that returns orphaned machines. */
export class OrphanCollector {
  #collecting = false;

  constructor(
    /** puts and deletes of a transaction */
    private readonly transactionOps: number,
    private readonly dependencies: OrphanCollectorDependencies,
  ) {}

  /** Whether the leader returns orphaned machines; if not, shards adopt them. */
  get electionActive(): boolean {
    return this.dependencies.election.electionActive;
  }

  /** Whether this node is the leader. */
  get isLeader(): boolean {
    return this.dependencies.election.authorize(ORPHAN_COLLECTOR_ROLE) !== null;
  }

  /**
   * Returns machines that the cloud has listed for long without any record. Resolves with the names of those that
   * are gone; none if this node is not the leader or a call is under way. Rejects like the store and the cloud do,
   * and with `NotLeaderError`.
   */
  async collect(listed: readonly ListedMachine[]): Promise<readonly string[]> {
    const authorization = this.dependencies.election.authorize(ORPHAN_COLLECTOR_ROLE);
    if (authorization === null || this.#collecting) return [];
    this.#collecting = true;
    try {
      return await this.#collect(authorization, listed);
    } finally {
      this.#collecting = false;
    }
  }

  async #collect(
    authorization: Authorization,
    listed: readonly ListedMachine[],
  ): Promise<readonly string[]> {
    const { intents, cloud, waitUntilCurrent: current, log } = this.dependencies;
    // Every rental is recorded before its call. So once a current cache shows neither a rental of the machine's
    // kind nor the machine, none can record it any more.
    await current();
    const limit = Math.min(
      MAX_MACHINES_PER_RETURN,
      this.transactionOps * MAX_GUARDS_PER_WRITE - OTHER_GUARDS,
    );
    const names = listed
      .filter((machine) => this.#isOrphaned(machine))
      .map((machine) => machine.name)
      .slice(0, limit);
    if (names.length === 0) return [];
    const notAdopted = names.map((name) => ({
      key: storeKey.adoptedMachineGroup(name),
      revision: 0,
    }));
    const present = new Set(listed.map((machine) => machine.name));
    const recorded = await intents.record(authorization, {
      list: 'unrecorded',
      names,
      isNeeded: (name) => present.has(name),
      guards: notAdopted,
    });
    if (recorded.length === 0) return [];
    await cloud.returnMachines(recorded, authorization);
    const { fencingToken } = authorization;
    log.info({ machines: recorded, fencingToken }, 'orphaned machines returned');
    return recorded;
  }

  #isOrphaned({ name, type, zone, spot }: ListedMachine): boolean {
    const { cache } = this.dependencies;
    if (cache.machines.has(name)) return false;
    for (const { value: rental } of cache.tables.rentals.values()) {
      if (rental.type === type && rental.zone === zone && rental.spot === spot) return false;
    }
    return true;
  }
}
