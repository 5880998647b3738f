/**
 * Leader election of the singleton controllers, which runs the election package on this node's store client and
 * cache.
 */
import {
  allSupportElection,
  LeaderElection,
  type Authorization,
  type CompareAndSwapStore,
  type ElectionView,
  type FencingRejections,
  type LeaderRecord,
  type LeadershipTransferRequest,
  type LiveMember,
  type Member,
  type TransactionPriority,
  type Versioned,
} from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { SingletonsConfig } from '../config/singletons.js';
import { storeKey } from '../store/keys.js';
import { type CachedValues } from '../store/codecs/cached-values.js';
import { CALL_PRIORITY, type CallPriority } from '../store/call-priority.js';
import { type StoreClient } from '../store/store-client.js';
import type { Cached, WatchCache } from '../store/watch-cache.js';
import { CANDIDATE_DELAY_MS } from './constants.js';
import {
  GARBAGE_COLLECTOR_ROLE,
  MOVE_COORDINATOR_ROLE,
  ORPHAN_COLLECTOR_ROLE,
  SINGLETON_ROLES,
} from './roles.js';

/** The store client's call priority for each transaction priority of the election package. */
const CALL_PRIORITY_OF: Readonly<Record<TransactionPriority, CallPriority>> = {
  lease: CALL_PRIORITY.renew,
  normal: CALL_PRIORITY.completion,
  background: CALL_PRIORITY.background,
};

type Tables = Pick<WatchCache['tables'], 'nodes' | 'elections'>;

const liveMembers = (nodes: ReadonlyMap<string, Cached<CachedValues['nodes/']>>): LiveMember[] =>
  [...nodes.values()].map(({ value, revision }) => ({ ...value, revision }));

/** Returns the members, leader records and transfer requests that the cache's tables show. */
export const electionView = (tables: Tables): ElectionView => {
  const records = new Map<string, Versioned<LeaderRecord>>();
  const transferRequests = new Map<string, Versioned<LeadershipTransferRequest>>();
  for (const { value: entry, revision } of tables.elections.values()) {
    if (entry.kind === 'record') records.set(entry.role, { value: entry.record, revision });
    else if (entry.kind === 'request') {
      transferRequests.set(entry.role, { value: entry.request, revision });
    }
  }
  return { members: liveMembers(tables.nodes), records, transferRequests };
};

/** The singleton controllers for whose roles this node is a candidate. */
export type EnabledControllers = Pick<SingletonsConfig, 'collectOrphans' | 'collectGarbage'> & {
  readonly coordinateMoves: boolean;
};

/** The services that the process provides to the election. */
export interface SingletonElectionDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** returns whether this node provably owns and leads what the cache shows as its own */
  readonly hasAuthority: () => boolean;
  readonly fencingRejections: FencingRejections;
  /** reads the monotonic clock, ms */
  readonly now: () => number;
  /** reads the time of day, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

const enabledRoles = (enabled: EnabledControllers): readonly string[] => {
  const byRole = {
    [ORPHAN_COLLECTOR_ROLE]: enabled.collectOrphans,
    [GARBAGE_COLLECTOR_ROLE]: enabled.collectGarbage,
    [MOVE_COORDINATOR_ROLE]: enabled.coordinateMoves,
  };
  return SINGLETON_ROLES.filter((role) => byRole[role]);
};

/** Takes part, for this node, in the election of leaders for the singleton controllers. */
export class SingletonElection {
  readonly #election: LeaderElection;
  readonly #cache: WatchCache;
  #view: ElectionView | null = null;
  #viewVersion = -1;

  constructor(
    self: Member,
    enabled: EnabledControllers,
    dependencies: SingletonElectionDependencies,
  ) {
    const { client, cache, hasAuthority, fencingRejections, now, timeOfDay, log } = dependencies;
    this.#cache = cache;
    const store: CompareAndSwapStore = {
      compareAndSwap: (priority, guards, writes) =>
        client.compareAndSwap(CALL_PRIORITY_OF[priority], guards, writes),
    };
    this.#election = new LeaderElection(
      {
        self,
        roles: enabledRoles(enabled),
        candidateDelayMs: CANDIDATE_DELAY_MS,
        memberKey: ({ node, incarnation }) => storeKey.node(node, incarnation),
      },
      {
        store,
        view: () => this.view(),
        hasAuthority,
        onCommitted: (writes, epoch) => {
          cache.applyOwnWrites(writes, epoch);
        },
        monotonicMs: now,
        wallClockMs: timeOfDay,
        rejections: fencingRejections,
        log,
      },
    );
  }

  /**
   * Returns the members, leader records and transfer requests that the cache shows; computed once per cache version.
   */
  view(): ElectionView {
    const { version, tables } = this.#cache;
    if (this.#view === null || version !== this.#viewVersion) {
      this.#view = electionView(tables);
      this.#viewVersion = version;
    }
    return this.#view;
  }

  /** Returns whether all live nodes support elections, which is required for singleton controllers to run. */
  get electionActive(): boolean {
    return allSupportElection(this.view());
  }

  /** Runs one round: starts to acquire vacant roles and to execute transfer requests. */
  tick(): void {
    this.#election.tick();
  }

  /** Returns the authorization to act as the leader of a role; null unless this node provably leads the role. */
  authorize(role: string): Authorization | null {
    return this.#election.authorize(role);
  }
}
