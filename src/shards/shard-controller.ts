import {
  Authorization,
  fencingToken,
  type FencingRejections,
  type SessionLease,
} from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import type { OperatorConfig } from '../config/operator.js';
import { LOOP_MS } from '../constants.js';
import { FAILBACK_MS } from '../core/ownership/constants.js';
import { NO_HEARTBEATS_MS, NO_HEARTBEATS_INTERVALS, TRANSFER_SETTLE_MS } from './constants.js';
import { Completions } from './completions.js';
import { DirectCommands } from './direct-commands.js';
import { renewableMs } from '../core/cancellation/lease-renewal.js';
import type { JobSpec, MachineType, Heartbeat } from '../core/model.js';
import { Ownership, type OwnershipView } from '../core/ownership/ownership.js';
import { Shard, type ShardSettings } from '../core/shard/shard.js';
import { MachineRecords } from './machine-records.js';
import { OwnedShard } from './owned-shard.js';
import { TaskMigration } from './task-migration.js';
import { socketBudget } from '../service/socket-budget.js';
import { CALL_PRIORITY, StoreRequestError, type StoreClient } from '../store/store-client.js';
import { key, type ShardRecord } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '../wire/schemas.js';
import type { HeartbeatResponse } from '../workers/heartbeat-routes.js';

/** What other nodes tell that matters for owning shards. */
export interface PeerView {
  /** a reachable node that has state, other than this one; null if none */
  withStore(): string | null;
  /** incarnation of a reachable node with state */
  fit(node: string): string | null;
  /** how many tasks of the job would fit now into another shard, and its term */
  capacityElsewhere(spec: JobSpec, not: number): { shard: number; tasks: number } | null;
  /** a shard that is booked much less than another one for the job */
  lessAllocated(spec: JobSpec, than: number): number | null;
  /** images that another owner knew on a machine */
  imagesOf(machine: string): ReadonlyMap<string, number>;
  /** the node that hears most workers of the shard */
  hears(shard: number): string | null;
  /** up to when every cancellation that any node has confirmed is known here, steady ms */
  cancellationsKnownUntil(): number;
}

/** Takes shards, gives them back, and runs the loops of those that this node owns. */
export class ShardController {
  readonly owned = new Map<number, OwnedShard>();
  readonly #ownership = new Ownership();
  /** when shards were given away by a transaction whose outcome is not known */
  readonly #given = new Map<number, number>();
  /** the newest term under which each shard was built here */
  readonly #built = new Map<number, number>();
  readonly #busy = new Set<number>();
  /** workers of other nodes' shards that came here, with the time */
  readonly observedElsewhere = new Map<string, { shard: number; at: number }>();
  #noTakeoverUntil = -Infinity;
  /** the cache was brought up to date by a call made then, steady ms */
  #currentAt = -Infinity;
  #asking = false;
  /** since when worker leases are left to run out, steady ms */
  #lettingGoSince: number | null = null;
  #lastOwn = -Infinity;
  readonly #direct: DirectCommands;
  readonly machines: MachineRecords;
  readonly #completions: Completions;
  readonly #migration: TaskMigration;

  constructor(
    private readonly config: PlatformConfig,
    private readonly operator: OperatorConfig,
    private readonly incarnation: string,
    private readonly client: Pick<StoreClient, 'compareAndSwap' | 'get'>,
    private readonly cache: WatchCache,
    private readonly lease: Pick<SessionLease, 'valid' | 'registeredAt' | 'validSince'>,
    /** resolves once the cache shows everything that was committed before the call */
    private readonly current: () => Promise<unknown>,
    private readonly peers: PeerView,
    private readonly fencingRejections: FencingRejections,
    private readonly types: () => ReadonlyMap<string, MachineType> | null,
    private readonly startObjectives: ShardSettings['startObjectives'],
    private readonly now: () => number,
    private readonly nowOfDay: () => number,
    private readonly log: Logger,
  ) {
    const { direct } = socketBudget(config.sockets, config.peers.length);
    this.#direct = new DirectCommands(
      direct,
      (shard) => this.owned.get(shard.index)?.shard === shard,
      now,
    );
    this.machines = new MachineRecords(config, client, cache, current, now, log);
    this.#completions = new Completions(config, client, cache, now, log);
    this.#migration = new TaskMigration(
      config,
      client,
      cache,
      (index, owned) => this.owned.get(index) === owned,
      peers,
      now,
      log,
    );
  }

  /** Whether this node provably owns what the cache shows as its own. */
  authority(now: number): boolean {
    const valid =
      this.lease.valid(now) && this.cache.ready && this.cache.revision >= this.lease.registeredAt;
    if (!valid) return false;
    // After an outage the lease lives again before the feed has told what happened: jobs may have been
    // cancelled, and would be started.
    if (Math.max(this.cache.currentAt, this.#currentAt) >= this.lease.validSince) return true;
    void this.#askCurrent(now);
    return false;
  }

  async #askCurrent(now: number): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    try {
      await this.current();
      this.#currentAt = now;
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
    } finally {
      this.#asking = false;
    }
  }

  /** Acts for no shard any more; what is repeated until its outcome is known ends, too. */
  close(): void {
    this.owned.clear();
  }

  /** Whether this node acts for the shard now, under the term that `owned` stands for. */
  actsFor(owned: OwnedShard): boolean {
    const present = this.owned.get(owned.shard.index) === owned && owned.isActive;
    return present && this.authority(this.now());
  }

  /** The right to act for a shard under its term, which is its fencing token. */
  #authorization(shard: Shard, revision: number): Authorization {
    const isCurrent = () => {
      const owned = this.owned.get(shard.index);
      return owned?.shard === shard && this.actsFor(owned);
    };
    const role = key.shard(shard.index);
    const guard = { key: role, revision };
    const leadership = { role, fencingToken: fencingToken(shard.term), guard, isCurrent };
    return new Authorization(leadership, this.fencingRejections);
  }

  /** Takes an own shard anew, under a higher term: workers then take its commands after those of another shard. */
  renewTerm(index: number): void {
    const owned = this.owned.get(index);
    if (owned !== undefined && this.actsFor(owned)) void this.#take(index);
  }

  termOf(shard: number): number | null {
    return this.cache.tables.shards.get(String(shard))?.value.term ?? null;
  }

  #alive(): Map<string, Set<string>> {
    const alive = new Map<string, Set<string>>();
    for (const { value } of this.cache.tables.nodes.values()) {
      const set = alive.get(value.node) ?? new Set();
      set.add(value.incarnation);
      alive.set(value.node, set);
    }
    return alive;
  }

  /** Nodes with a living lease. */
  aliveNodes(): number {
    return this.#alive().size;
  }

  /** One round: what is owned by the cache, what should be, and the owned shards' own loops. */
  tick(): void {
    const now = this.now();
    if (!this.cache.ready) return;
    this.#refresh(now);
    const authority = this.authority(now);
    if (authority && now - this.#lastOwn >= LOOP_MS) {
      this.#lastOwn = now;
      this.#ownShards(now);
    }
    for (const [index, owned] of this.owned) {
      const { shard } = owned;
      if (!owned.isActive) continue;
      shard.expireLeases(now);
      if (!authority) {
        this.#direct.stops(owned, now);
        continue;
      }
      shard.placeAll(now);
      this.#direct.tick(owned, now);
      void this.machines.tick(index, owned, now);
      this.#migration.migrateUnschedulable(index, owned, now);
      void this.#completions.save(index, owned, now);
    }
  }

  #refresh(now: number): void {
    const types = this.types();
    const changes = this.cache.takeChanges();
    for (let index = 0; index < this.config.nodes; index++) {
      const record = this.cache.tables.shards.get(String(index));
      const mine =
        record !== undefined &&
        record.value.owner === this.config.node &&
        record.value.incarnation === this.incarnation;
      const owned = this.owned.get(index);
      if (owned !== undefined && (!mine || owned.shard.term !== record.value.term)) {
        this.owned.delete(index);
        this.#given.delete(index);
        this.log.info({ shard: index, term: owned.shard.term }, 'shard lost');
      }
      if (!mine) continue;
      if (!this.owned.has(index)) {
        // What was started under a term is known only to the object that started it. Built a second
        // time under the same term, it would take everything for fresh and start tasks twice
        // (docs/incidents/2026-12-01-handover-conflict.md). So the shard is taken anew.
        if (this.#built.get(index) === record.value.term) {
          if (this.authority(now)) void this.#take(index);
          continue;
        }
        // Everything that earlier owners knew must be known here first.
        if (types === null || this.cache.revision < record.revision) continue;
        this.#built.set(index, record.value.term);
        const shard = new Shard(index, record.value.term, {
          heartbeatIntervalMs: this.config.workers.heartbeatIntervalS * 1000,
          leaseMs: this.config.workers.leaseS * 1000,
          cancelMs: this.config.workers.cancelS * 1000,
          teams: this.config.teams,
          types,
          preempt: this.operator.preempt,
          startObjectives: this.startObjectives,
          imagesOf: (machine) => this.peers.imagesOf(machine),
        });
        const authorization = this.#authorization(shard, record.revision);
        this.owned.set(index, new OwnedShard(shard, authorization, now));
        this.log.info({ shard: index, term: shard.term }, 'shard owned');
      }
      const present = this.owned.get(index)!;
      if (!present.isActive) {
        present.requireFullSync();
        continue;
      }
      const everything = present.takeFullSync() || changes.everything;
      const changed = changes.machines || changes.jobs.size > 0 || present.shard.hasDeferredJobs;
      if (!everything && !changed) continue;
      present.shard.sync(
        {
          jobs: this.cache.tables.activeJobs,
          done: (uid, from) => this.cache.completedTasks(index, uid, from),
          machines: this.cache.machines,
        },
        now,
        this.nowOfDay(),
        everything ? null : changes,
      );
    }
  }

  // --- ownership ---------------------------------------------------------------------------------

  #ownShards(now: number): void {
    const shards = new Map<number, ShardRecord>();
    for (const [id, { value }] of this.cache.tables.shards) shards.set(Number(id), value);
    const view: OwnershipView = {
      me: this.config.node,
      incarnation: this.incarnation,
      nodes: [this.config.node, ...this.config.peers.map((p) => p.node)].sort(),
      alive: this.#alive(),
      shards,
      count: this.config.nodes,
    };
    for (const step of this.#ownership.steps(view, now, (n) => this.peers.fit(n))) {
      if (step.kind === 'take') {
        if (now >= this.#noTakeoverUntil || !shards.has(step.shard)) void this.#take(step.shard);
      } else if (!this.#given.has(step.shard))
        void this.#give(step.shard, step.to, step.incarnation);
    }
    for (const [index, at] of this.#given) {
      // The handover's outcome is not known. Taking the shard anew settles it: whichever of the two
      // transactions comes second fails.
      if (now - at > TRANSFER_SETTLE_MS) void this.#take(index);
    }
    for (const [index, { shard, isActive }] of this.owned) {
      if (isActive) this.#handOverIfCutOff(index, shard, now);
    }
  }

  /** Cut off from the workers alone: a node that hears them should own their shard. */
  #handOverIfCutOff(index: number, shard: Shard, now: number): void {
    const heartbeatIntervalMs = this.config.workers.heartbeatIntervalS * 1000;
    if (
      !shard.allHeartbeatsLost(
        now,
        Math.min(NO_HEARTBEATS_MS, heartbeatIntervalMs * NO_HEARTBEATS_INTERVALS),
      )
    )
      return;
    const to = this.peers.hears(index);
    const incarnation = to === null ? null : this.peers.fit(to);
    if (to === null || to === this.config.node || incarnation === null) return;
    this.#noTakeoverUntil = now + FAILBACK_MS * 2;
    this.log.info(
      { shard: index, to },
      'no worker of the shard reports here, but they do elsewhere',
    );
    void this.#give(index, to, incarnation);
  }

  async #once(index: number, work: () => Promise<void>): Promise<void> {
    if (this.#busy.has(index)) return;
    this.#busy.add(index);
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.log.debug({ shard: index, error: error.message }, 'shard not written');
    } finally {
      this.#busy.delete(index);
    }
  }

  #ownerWrite(index: number, owner: string, incarnation: string): [Guard[], Write[]] {
    const term = this.cache.tables.term.get('');
    const old = this.cache.tables.shards.get(String(index));
    const next = (term?.value ?? 0) + 1;
    const guards: Guard[] = [
      { key: key.term, revision: term?.revision ?? 0 },
      { key: key.shard(index), revision: old?.revision ?? 0 },
    ];
    if (old !== undefined && old.value.owner !== this.config.node) {
      guards.push({ key: key.node(old.value.owner, old.value.incarnation), revision: 0 });
    }
    const value: ShardRecord = { owner, incarnation, term: next };
    return [
      guards,
      [
        { put: key.term, value: next },
        { put: key.shard(index), value },
      ],
    ];
  }

  #take(index: number): Promise<void> {
    return this.#once(index, async () => {
      const [guards, writes] = this.#ownerWrite(index, this.config.node, this.incarnation);
      const result = await this.client.compareAndSwap(CALL_PRIORITY.renew, guards, writes);
      if (!result.ok) return;
      this.#given.delete(index);
      this.cache.applyOwn(writes, result.epoch);
      this.log.info({ shard: index }, 'shard taken');
    });
  }

  #give(index: number, to: string, incarnation: string): Promise<void> {
    return this.#once(index, async () => {
      const owned = this.owned.get(index);
      if (owned === undefined || !owned.isActive) return;
      const [guards, writes] = this.#ownerWrite(index, to, incarnation);
      guards.push({
        key: key.node(to, incarnation),
        revision: this.#nodeRevision(to, incarnation),
      });
      // From here on we act for the shard no more, whatever becomes of the transaction.
      owned.suspend();
      this.#given.set(index, this.now());
      const result = await this.client.compareAndSwap(CALL_PRIORITY.renew, guards, writes);
      this.#given.delete(index);
      if (result.ok) {
        this.#ownership.handedOver(index);
        this.cache.applyOwn(writes, result.epoch);
        this.log.info({ shard: index, to }, 'shard handed over');
      } else owned.resume();
    });
  }

  #nodeRevision(node: string, incarnation: string): number {
    return this.cache.tables.nodes.get(`${node}/${incarnation}`)?.revision ?? 0;
  }

  // --- workers -----------------------------------------------------------------------------------

  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    const now = this.now();
    if (!this.cache.ready) return { kind: 'unavailable' };
    const record = this.cache.machines.get(heartbeat.machine)?.value;
    if (record === undefined) return { kind: 'unavailable' };
    const owned = this.owned.get(record.shard);
    if (owned === undefined || !owned.isActive) return this.#sendOn(heartbeat, record.shard, now);
    const authority = this.authority(now);
    if (!authority) {
      // Running work must survive an outage of the state service, so its leases are kept. But if
      // another node has state, the trouble is ours, and the workers are better off there.
      const better = this.peers.withStore();
      if (better !== null) return { kind: 'redirect', node: better };
    }
    if (!owned.shard.machines.has(heartbeat.machine)) this.#refresh(now);
    const result = owned.shard.handleHeartbeat(
      heartbeat,
      now,
      authority,
      authority || this.#mayRenew(now),
    );
    if (result.kind === 'answer') {
      return { kind: 'answer', fencingToken: owned.shard.term, commands: result.commands };
    }
    if (result.kind === 'superseded') {
      this.log.info(
        {
          machine: heartbeat.machine,
          part: record.shard,
          term: owned.shard.term,
          token: heartbeat.fencingToken,
        },
        'a worker has seen a higher term: our ownership may be over',
      );
      return { kind: 'redirect', node: this.peers.withStore() };
    }
    return { kind: 'unavailable' };
  }

  /**
   * Without current state a cancellation may have been confirmed that we have not heard of. Its tasks
   * must be gone in time all the same, so worker leases are renewed only as long as those that end
   * last still end in time for whatever we may not know.
   */
  #mayRenew(now: number): boolean {
    const { cancelS, leaseS } = this.config.workers;
    const known = this.peers.cancellationsKnownUntil();
    const may = now - known <= renewableMs(cancelS * 1000, leaseS * 1000);
    if (may === (this.#lettingGoSince === null)) return may;
    this.#lettingGoSince = may ? null : now;
    const unknownS = Math.round((now - known) / 1000);
    if (may) this.log.info('worker leases are renewed again');
    else this.log.info({ unknownS }, 'worker leases are left to end: cancellations may be unknown');
    return may;
  }

  #sendOn(heartbeat: Heartbeat, shard: number, now: number): HeartbeatResponse {
    const owner = this.cache.tables.shards.get(String(shard))?.value;
    if (owner === undefined) return { kind: 'unavailable' };
    const me = owner.owner === this.config.node;
    if (!me) this.observedElsewhere.set(heartbeat.machine, { shard, at: now });
    const alive = this.#alive().get(owner.owner)?.has(owner.incarnation) ?? false;
    if (me || !alive) return { kind: 'unavailable' };
    return { kind: 'redirect', node: owner.owner };
  }
}
