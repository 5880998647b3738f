import {
  allSupportElection,
  LeaderElection,
  type Authorization,
  type LeaderRecord,
  type ElectionView,
  type LeadershipTransferRequest,
  type LiveMember,
  type Member,
  type FencingRejections,
  type CompareAndSwapStore,
  type Urgency,
  type Versioned,
} from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { SingletonsConfig } from '../config/singletons.js';
import { CANDIDATE_DELAY_MS } from './constants.js';
import { CALL_PRIORITY, type CallPriority } from '../store/call-priority.js';
import type { StoreClient } from '../store/store-client.js';
import { key } from '../store/keys.js';
import type { CachedValues } from '../store/codecs/cached-values.js';
import type { Cached, WatchCache } from '../store/watch-cache.js';

/** Returning machines that no record knows. */
export const ORPHAN_COLLECTOR_ROLE = 'reclaim';
/** Clearing old state. */
export const GARBAGE_COLLECTOR_ROLE = 'clear';
/** Moving machines between shards. */
export const MOVE_COORDINATOR_ROLE = 'move';
/** All duties that exist, whether switched on or not. */
export const SINGLETON_ROLES = [
  ORPHAN_COLLECTOR_ROLE,
  GARBAGE_COLLECTOR_ROLE,
  MOVE_COORDINATOR_ROLE,
] as const;

const CALL_OF: Readonly<Record<Urgency, CallPriority>> = {
  lease: CALL_PRIORITY.renew,
  normal: CALL_PRIORITY.completion,
  background: CALL_PRIORITY.background,
};

type Tables = Pick<WatchCache['tables'], 'nodes' | 'elections'>;

const livingMembers = (nodes: ReadonlyMap<string, Cached<CachedValues['nodes/']>>): LiveMember[] =>
  [...nodes.values()].map(({ value, revision }) => ({ ...value, revision }));

/** Members, duties and requests as the tables show them. */
export const electionView = (tables: Tables): ElectionView => {
  const records = new Map<string, Versioned<LeaderRecord>>();
  const requests = new Map<string, Versioned<LeadershipTransferRequest>>();
  for (const { value: entry, revision } of tables.elections.values()) {
    if (entry.kind === 'record') records.set(entry.duty, { value: entry.record, revision });
    else if (entry.kind === 'request') requests.set(entry.duty, { value: entry.request, revision });
  }
  return { members: livingMembers(tables.nodes), records, transferRequests: requests };
};

/** What the duty controller needs of the process. */
export interface SingletonElectionDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** whether this node provably owns what the cache shows as its own */
  readonly authority: () => boolean;
  readonly fencingRejections: FencingRejections;
  /** steady ms */
  readonly now: () => number;
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** The exclusive duties of this node: the package's manager on the state service and the watch cache. */
export class SingletonElection {
  readonly #manager: LeaderElection;
  readonly #cache: WatchCache;
  #view: ElectionView | null = null;
  #viewVersion = -1;

  constructor(
    self: Member,
    config: Pick<SingletonsConfig, 'collectOrphans' | 'collectGarbage'> & {
      readonly move: boolean;
    },
    ports: SingletonElectionDependencies,
  ) {
    const { client, cache, authority, fencingRejections, now, timeOfDay, log } = ports;
    this.#cache = cache;
    const switched = {
      [ORPHAN_COLLECTOR_ROLE]: config.collectOrphans,
      [GARBAGE_COLLECTOR_ROLE]: config.collectGarbage,
      [MOVE_COORDINATOR_ROLE]: config.move,
    };
    const duties = SINGLETON_ROLES.filter((name) => switched[name]);
    const store: CompareAndSwapStore = {
      compareAndSwap: (urgency, guards, writes) =>
        client.compareAndSwap(CALL_OF[urgency], guards, writes),
    };
    this.#manager = new LeaderElection(
      {
        self,
        roles: duties,
        candidateDelayMs: CANDIDATE_DELAY_MS,
        memberKey: ({ node, incarnation }) => key.node(node, incarnation),
      },
      {
        store,
        view: () => this.view(),
        hasAuthority: authority,
        onCommitted: (writes, epoch) => cache.applyOwn(writes, epoch),
        steadyMs: now,
        wallClockMs: timeOfDay,
        rejections: fencingRejections,
        log,
      },
    );
  }

  /** Members, duties and requests as they are known here. */
  view(): ElectionView {
    const { version, tables } = this.#cache;
    if (this.#view === null || version !== this.#viewVersion) {
      this.#view = electionView(tables);
      this.#viewVersion = version;
    }
    return this.#view;
  }

  /** Whether all living nodes have the duties, so that they are carried out. */
  get begun(): boolean {
    return allSupportElection(this.view());
  }

  /** One round of acquiring, handing over and releasing. */
  tick(): void {
    this.#manager.tick();
  }

  /** The right to act for a duty; null while this node does not provably hold it. */
  authorize(duty: string): Authorization | null {
    return this.#manager.authorize(duty);
  }
}
