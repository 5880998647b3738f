import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from 'pino';
import type { PlatformConfig } from './config/platform.js';
import {
  PASS_AFTER_MS,
  PASS_EVERY_MS,
  PASS_TRIES,
  RANGES_MOST,
  RECORD_FILL,
  STATE_PAUSE_MS,
} from './constants.js';
import { hasGuarantee, hasLimit } from './core/jobs.js';
import type { JobSpec, TaskRange } from './core/model.js';
import type { JobState } from './core/part.js';
import type { Owned } from './keeper.js';
import { CALL, StateTrouble, type StateClient } from './state/client.js';
import { decodeActive, encodeActive, key } from './state/keys.js';
import type { Mirror } from './state/mirror.js';
import type { Write } from './wire/schemas.js';

/** Hands tasks that fit nowhere in their part to one where they fit. */
export class Passing {
  /** by part */
  readonly #lastTry = new Map<number, number>();

  constructor(
    private readonly config: PlatformConfig,
    private readonly client: Pick<StateClient, 'transact' | 'get'>,
    private readonly mirror: Mirror,
    private readonly stillOwned: (index: number, owned: Owned) => boolean,
    /** how many tasks of the job would fit now into another part */
    private readonly roomElsewhere: (
      spec: JobSpec,
      not: number,
    ) => { part: number; tasks: number } | null,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** A task that fits nowhere in its part passes, by transaction, to a part where it fits. */
  passStuck(index: number, owned: Owned, now: number): void {
    if (now - (this.#lastTry.get(index) ?? -Infinity) < PASS_EVERY_MS) return;
    this.#lastTry.set(index, now);
    let tries = 0;
    for (const job of owned.part.jobs.values()) {
      if (job.stuckSince === null || now - job.stuckSince < PASS_AFTER_MS) continue;
      if (now < job.passAfter || job.passing.length > 0) continue;
      const team = this.config.teams.get(job.spec.team);
      if (hasLimit(team) || hasGuarantee(team)) continue;
      const active = this.mirror.tables['active/'].get(job.spec.uid);
      if (active === undefined || active.value.ranges.length >= RANGES_MOST) continue;
      tries += 1;
      if (tries > PASS_TRIES) return;
      const to = this.roomElsewhere(job.spec, index);
      const can = to === null ? null : owned.part.passable(job, active.value);
      const era =
        to === null
          ? null
          : (this.mirror.tables['parts/'].get(String(to.part))?.value.term ?? null);
      if (can === null || to === null || era === null) continue;
      const { range } = can;
      const whole = job.spec.kind === 'gang' || job.spec.oneZone || job.spec.spread;
      const count = Math.min(range.to - can.from, to.tasks);
      if (whole && count < range.to - range.from) continue;
      void this.#pass(index, owned, job, range, range.to - count, { part: to.part, era });
      // The room that another node spoke of is there once.
      return;
    }
  }

  async #pass(
    index: number,
    owned: Owned,
    job: JobState,
    range: TaskRange,
    from: number,
    to: { part: number; era: number },
  ): Promise<void> {
    const { uid } = job.spec;
    const active = this.mirror.tables['active/'].get(uid)!;
    const ranges = active.value.ranges.flatMap((r) => {
      if (r.from !== range.from) return [r];
      const moved = { from, to: r.to, ...to };
      return from > r.from ? [{ ...r, to: from }, moved] : [moved];
    });
    const value = encodeActive({ ...active.value, ranges });
    const { valueBytes } = this.config.stateLimits;
    if (JSON.stringify(value).length > valueBytes * RECORD_FILL) return;
    const writes: Write[] = [{ put: key.active(uid), value }];
    // A part of the range may be saved under the old cut; the bitmap's end is simply cut off.
    const when = [
      { key: key.part(index), stamp: owned.stamp },
      { key: key.active(uid), stamp: active.stamp },
    ];
    owned.part.beginPass(job, from, range.to);
    for (;;) {
      try {
        const result = await this.client.transact(CALL.completion, when, writes);
        if (result.ok) {
          this.mirror.applyOwn(writes, result.epoch);
          owned.part.endPass(job, true, this.now());
          this.log.info({ job: uid, part: index, to: to.part, tasks: range.to - from }, 'passed');
          return;
        }
        // A conflict after a lost answer may be our own success: only the present record tells. The
        // mirror must show it too, or the old one would bring the tasks back as fresh.
        const found = await this.client.get(key.active(uid), CALL.completion);
        let passed = false;
        if (!('missing' in found)) {
          this.mirror.applyOwn([{ put: key.active(uid), value: found.value }], found.stamp);
          const { ranges: present } = decodeActive(uid, found.value);
          passed = !present.some((r) => r.part === index && r.from <= from && r.to > from);
        }
        owned.part.endPass(job, passed, this.now());
        return;
      } catch (error) {
        if (!(error instanceof StateTrouble)) throw error;
        if (!this.stillOwned(index, owned)) return;
        if (error.kind === 'invalid') {
          owned.part.endPass(job, false, this.now());
          return;
        }
        await sleep(STATE_PAUSE_MS);
      }
    }
  }
}
