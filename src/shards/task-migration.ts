import { setTimeout as sleep } from 'node:timers/promises';
import { fencedCompareAndSwap } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import {
  BALANCE_AFTER_MS,
  BALANCE_EVERY_MS,
  TRANSFER_AFTER_MS,
  TRANSFER_EVERY_MS,
  TRANSFER_TRIES,
  MAX_RANGES,
  RECORD_FILL,
} from './constants.js';
import { STORE_RETRY_MS } from '../store/constants.js';
import { hasGuarantee, hasLimit } from '../core/jobs/jobs.js';
import type { JobSpec, TaskRange } from '../core/model.js';
import type { JobState } from '../core/shard/shard.js';
import type { OwnedShard } from './owned-shard.js';
import { CALL_PRIORITY, StoreRequestError, type StoreClient } from '../store/store-client.js';
import { decodeJob, encodeJob, key } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Write } from '../wire/schemas.js';

/** What is known of the other shards' room. */
export interface OtherShards {
  /** how many tasks of the job would fit now into another shard */
  capacityElsewhere(spec: JobSpec, not: number): Destination | null;
  /** a shard that is booked much less than another one for the job */
  lessAllocated(spec: JobSpec, than: number): number | null;
}

/** Where tasks may pass to, and how many of them. */
interface Destination {
  readonly shard: number;
  readonly tasks: number;
}

/** Hands tasks that fit nowhere in their shard to one where they fit. */
export class TaskMigration {
  /** when each shard last tried to pass tasks, steady ms */
  readonly #lastTry = new Map<number, number>();
  /** when each shard last passed tasks to one that had no room either, steady ms */
  readonly #lastBalanced = new Map<number, number>();

  constructor(
    private readonly config: PlatformConfig,
    private readonly client: Pick<StoreClient, 'compareAndSwap' | 'get'>,
    private readonly cache: WatchCache,
    private readonly stillOwned: (index: number, owned: OwnedShard) => boolean,
    private readonly otherShards: OtherShards,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /**
   * A task that fits nowhere in its shard passes, by transaction, to a shard where it fits. Exception: while
   * no shard has room, what has waited for long passes to one that is booked far less. A shard whose owner
   * began to rent late may get no machines, and an array has ranges in most shards.
   */
  migrateUnschedulable(index: number, owned: OwnedShard, now: number): void {
    if (now - (this.#lastTry.get(index) ?? -Infinity) < TRANSFER_EVERY_MS) return;
    this.#lastTry.set(index, now);
    let tries = 0;
    for (const job of owned.shard.jobs.values()) {
      if (job.unschedulableSince === null || now - job.unschedulableSince < TRANSFER_AFTER_MS)
        continue;
      if (now < job.nextMigrationAt || job.migratingTasks.length > 0) continue;
      const team = this.config.teams.get(job.spec.team);
      if (hasLimit(team) || hasGuarantee(team)) continue;
      const active = this.cache.tables.activeJobs.get(job.spec.uid);
      if (active === undefined || active.value.ranges.length >= MAX_RANGES) continue;
      tries += 1;
      if (tries > TRANSFER_TRIES) return;
      const to =
        this.otherShards.capacityElsewhere(job.spec, index) ?? this.#lessAllocated(job, index, now);
      const can = to === null ? null : owned.shard.migratable(job, active.value);
      const term =
        to === null ? null : (this.cache.tables.shards.get(String(to.shard))?.value.term ?? null);
      if (can === null || to === null || term === null) continue;
      const { range } = can;
      const whole = job.spec.kind === 'gang' || job.spec.oneZone || job.spec.spread;
      const count = Math.min(range.to - can.from, to.tasks);
      if (whole && count < range.to - range.from) continue;
      if (to.tasks === Infinity) this.#lastBalanced.set(index, now);
      void this.#pass(index, owned, job, range, range.to - count, { shard: to.shard, term });
      // The room that another node spoke of is there once.
      return;
    }
  }

  #lessAllocated(job: JobState, index: number, now: number): Destination | null {
    if (job.unschedulableSince === null || now - job.unschedulableSince < BALANCE_AFTER_MS)
      return null;
    if (now - (this.#lastBalanced.get(index) ?? -Infinity) < BALANCE_EVERY_MS) return null;
    const shard = this.otherShards.lessAllocated(job.spec, index);
    return shard === null ? null : { shard, tasks: Infinity };
  }

  async #pass(
    index: number,
    owned: OwnedShard,
    job: JobState,
    range: TaskRange,
    from: number,
    to: { shard: number; term: number },
  ): Promise<void> {
    const { uid } = job.spec;
    const active = this.cache.tables.activeJobs.get(uid)!;
    const ranges = active.value.ranges.flatMap((r) => {
      if (r.from !== range.from) return [r];
      const moved = { from, to: r.to, ...to };
      return from > r.from ? [{ ...r, to: from }, moved] : [moved];
    });
    const value = encodeJob({ ...active.value, ranges });
    const { valueBytes } = this.config.storeLimits;
    if (JSON.stringify(value).length > valueBytes * RECORD_FILL) return;
    const writes: Write[] = [{ put: key.activeJob(uid), value }];
    // A part of the range may be saved under the old cut; the bitmap's end is simply cut off.
    const guards = [{ key: key.activeJob(uid), revision: active.revision }];
    owned.shard.beginMigration(job, from, range.to);
    for (;;) {
      try {
        const { authorization } = owned;
        const result = await fencedCompareAndSwap(
          this.client,
          authorization,
          CALL_PRIORITY.completion,
          guards,
          writes,
        );
        if (result.ok) {
          this.cache.applyOwn(writes, result.epoch);
          owned.shard.endMigration(job, true, this.now());
          this.log.info({ job: uid, shard: index, to: to.shard, tasks: range.to - from }, 'passed');
          return;
        }
        // A conflict after a lost answer may be our own success: only the present record tells. The
        // cache must show it too, or the old one would bring the tasks back as fresh.
        const found = await this.client.get(key.activeJob(uid), CALL_PRIORITY.completion);
        let passed = false;
        if (!('missing' in found)) {
          this.cache.applyOwn([{ put: key.activeJob(uid), value: found.value }], found.revision);
          const { ranges: present } = decodeJob(uid, found.value);
          passed = !present.some((r) => r.shard === index && r.from <= from && r.to > from);
        }
        owned.shard.endMigration(job, passed, this.now());
        return;
      } catch (error) {
        if (!(error instanceof StoreRequestError)) throw error;
        if (!this.stillOwned(index, owned)) return;
        if (error.kind === 'invalid') {
          owned.shard.endMigration(job, false, this.now());
          return;
        }
        await sleep(STORE_RETRY_MS);
      }
    }
  }
}
