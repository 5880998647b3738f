import {
  allKnowDuties,
  DutyManager,
  type Authorization,
  type DutyRecord,
  type DutyView,
  type HandOverRequest,
  type LivingMember,
  type Member,
  type Refusals,
  type CompareAndSwapStore,
  type Urgency,
  type Versioned,
} from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { DutiesConfig } from '../config/duties.js';
import { DUTY_GRACE_MS } from './constants.js';
import { CALL_PRIORITY, type CallPriority } from '../store/call-priority.js';
import type { StoreClient } from '../store/store-client.js';
import { key } from '../store/keys.js';
import type { CachedValues } from '../store/codecs/cached-values.js';
import type { Cached, WatchCache } from '../store/watch-cache.js';

/** Returning machines that no record knows. */
export const RECLAIM = 'reclaim';
/** Clearing old state. */
export const CLEAR = 'clear';
/** Moving machines between shards. */
export const MOVE = 'move';
/** All duties that exist, whether switched on or not. */
export const DUTY_NAMES = [RECLAIM, CLEAR, MOVE] as const;

const CALL_OF: Readonly<Record<Urgency, CallPriority>> = {
  lease: CALL_PRIORITY.renew,
  normal: CALL_PRIORITY.completion,
  background: CALL_PRIORITY.background,
};

type Tables = Pick<WatchCache['tables'], 'nodes' | 'elections'>;

const livingMembers = (
  nodes: ReadonlyMap<string, Cached<CachedValues['nodes/']>>,
): LivingMember[] =>
  [...nodes.values()].map(({ value: { node, incarnation, supportsElections }, revision }) => ({
    node,
    incarnation,
    knowsDuties: supportsElections,
    revision,
  }));

/** Members, duties and requests as the tables show them. */
export const dutyView = (tables: Tables): DutyView => {
  const records = new Map<string, Versioned<DutyRecord>>();
  const requests = new Map<string, Versioned<HandOverRequest>>();
  for (const { value: entry, revision } of tables.elections.values()) {
    if (entry.kind === 'record') records.set(entry.duty, { value: entry.record, revision });
    else if (entry.kind === 'request') requests.set(entry.duty, { value: entry.request, revision });
  }
  return { members: livingMembers(tables.nodes), records, requests };
};

/** What the duty controller needs of the process. */
export interface DutyControllerPorts {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** whether this node provably owns what the cache shows as its own */
  readonly authority: () => boolean;
  readonly refusals: Refusals;
  /** steady ms */
  readonly now: () => number;
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** The exclusive duties of this node: the package's manager on the state service and the watch cache. */
export class DutyController {
  readonly #manager: DutyManager;
  readonly #cache: WatchCache;
  #view: DutyView | null = null;
  #viewVersion = -1;

  constructor(
    me: Member,
    config: Pick<DutiesConfig, 'reclaim' | 'clear'> & { readonly move: boolean },
    ports: DutyControllerPorts,
  ) {
    const { client, cache, authority, refusals, now, timeOfDay, log } = ports;
    this.#cache = cache;
    const switched = { [RECLAIM]: config.reclaim, [CLEAR]: config.clear, [MOVE]: config.move };
    const duties = DUTY_NAMES.filter((name) => switched[name]);
    const store: CompareAndSwapStore = {
      compareAndSwap: (urgency, guards, writes) =>
        client.compareAndSwap(CALL_OF[urgency], guards, writes),
    };
    this.#manager = new DutyManager(
      {
        me,
        duties,
        graceMs: DUTY_GRACE_MS,
        memberKey: ({ node, incarnation }) => key.node(node, incarnation),
      },
      {
        store,
        view: () => this.view(),
        authority,
        committed: (writes, epoch) => cache.applyOwn(writes, epoch),
        now,
        timeOfDay,
        refusals,
        log,
      },
    );
  }

  /** Members, duties and requests as they are known here. */
  view(): DutyView {
    const { version, tables } = this.#cache;
    if (this.#view === null || version !== this.#viewVersion) {
      this.#view = dutyView(tables);
      this.#viewVersion = version;
    }
    return this.#view;
  }

  /** Whether all living nodes have the duties, so that they are carried out. */
  get begun(): boolean {
    return allKnowDuties(this.view());
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
