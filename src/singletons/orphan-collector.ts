/**
 * Orphan collection: returns machines that no stored record lists, for example from rentals that were executed late.
 */
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

/** Guards of the transaction that records intents, in addition to one per machine: the leader record and the list. */
const OTHER_GUARDS = 2;

/** The orphan collector of a node on which it is enabled, and the write-ahead intents that it reads and writes. */
export interface OrphanCollection {
  readonly collector: OrphanCollector;
  readonly intents: ReturnIntents;
}

/** The services that the process provides to orphan collection. */
export interface OrphanCollectorDependencies {
  readonly election: Pick<SingletonElection, 'authorize' | 'electionActive'>;
  readonly intents: ReturnIntents;
  readonly cloud: Pick<CloudClient, 'returnMachines'>;
  readonly cache: WatchCache;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitUntilCurrent: () => Promise<unknown>;
  readonly log: Logger;
}

/** The singleton controller that returns orphaned machines to the cloud. */
export class OrphanCollector {
  #collecting = false;

  constructor(
    /** maximum number of writes (puts and deletes) in one transaction */
    private readonly transactionOps: number,
    private readonly dependencies: OrphanCollectorDependencies,
  ) {}

  /** Returns whether the leader returns orphaned machines; while it does not, shards adopt them. */
  get electionActive(): boolean {
    return this.dependencies.election.electionActive;
  }

  /** Returns whether this node is the leader. */
  get isLeader(): boolean {
    return this.dependencies.election.authorize(ORPHAN_COLLECTOR_ROLE) !== null;
  }

  /**
   * Returns machines to the cloud that it has listed for a long time while no record of them exists. Resolves with the
   * names of the returned machines, or with none if this node is not the leader or an earlier call is in progress.
   * Rejects with the errors of the store and the cloud, or with `NotLeaderError`.
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
    const { intents, cloud, waitUntilCurrent, log } = this.dependencies;
    // Every rental is recorded before its call is sent. So if a current cache shows neither the machine nor a rental of
    // its type, zone and spot flag, no shard can record the machine any more.
    await waitUntilCurrent();
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
    const listedNames = new Set(listed.map((machine) => machine.name));
    const recorded = await intents.record(authorization, {
      list: 'unrecorded',
      names,
      isNeeded: (name) => listedNames.has(name),
      guards: notAdopted,
    });
    if (recorded.length === 0) return [];
    await cloud.returnMachines(recorded, authorization);
    const { fencingToken } = authorization;
    log.info({ machines: recorded, fencingToken }, 'orphaned machines returned');
    return recorded;
  }

  /** Returns whether neither a record of the machine nor a rental of its type, zone and spot flag exists. */
  #isOrphaned({ name, type, zone, spot }: ListedMachine): boolean {
    const { cache } = this.dependencies;
    if (cache.machines.has(name)) return false;
    for (const { value: rental } of cache.tables.rentals.values()) {
      if (rental.type === type && rental.zone === zone && rental.spot === spot) return false;
    }
    return true;
  }
}
