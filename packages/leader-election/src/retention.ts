/**
 * The retention clock, which determines how long ago the store reached a revision. It counts the time that successive
 * leaders have observed. The property names of its record are stored, so they never change.
 */
import * as z from 'zod';

/** A reading of the retention clock, and a revision that the store had reached by then. */
export interface RetentionMark {
  /** the reading of the clock */
  readonly observedMs: number;
  readonly revision: number;
}

/** The stored state of the retention clock: the time that leaders have observed, and revisions reached in that time. */
export interface RetentionRecord {
  /** time that elapsed on the leaders' monotonic clocks while they led */
  readonly observedMs: number;
  /** oldest first */
  readonly marks: readonly RetentionMark[];
}

/** The record before any time has been observed. */
export const EMPTY_RETENTION: RetentionRecord = { observedMs: 0, marks: [] };

/** Number of marks per retention time: the interval between marks delays a deletion by at most 1/16 of that time. */
const MARKS_PER_RETENTION = 16;

const nonNegative = z.number().nonnegative();
const recordSchema = z.object({
  observedMs: nonNegative,
  marks: z.array(z.object({ observedMs: nonNegative, revision: nonNegative.int() })),
});

/** Decodes a stored record; throws a `ZodError` if the value is not one. */
export const decodeRetention = (value: unknown): RetentionRecord => recordSchema.parse(value);

/** The retention time of values, and the accuracy of the clocks. */
export interface RetentionOptions {
  /** time for which values are retained */
  readonly retentionMs: number;
  /** largest fraction by which a monotonic clock may run fast */
  readonly clockDrift: number;
}

/**
 * Returns the record with `elapsedMs` added, the time that has passed on the leader's monotonic clock since the record was
 * written. No other time counts, so a jump of the time of day or a period without a leader can make the retention clock
 * late but never early. `revision` must be a revision that the store has already reached.
 */
export const observeElapsed = (
  previous: RetentionRecord,
  elapsedMs: number,
  revision: number,
  { retentionMs, clockDrift }: RetentionOptions,
): RetentionRecord => {
  const observedMs = previous.observedMs + Math.max(0, elapsedMs) * (1 - clockDrift);
  const lastMark = previous.marks.at(-1);
  const isMarkDue =
    lastMark === undefined || observedMs - lastMark.observedMs >= retentionMs / MARKS_PER_RETENTION;
  const marks = isMarkDue ? [...previous.marks, { observedMs, revision }] : previous.marks;
  // Only the newest expired mark is needed; the marks before it are dropped.
  const lastExpired = marks.findLastIndex((mark) => observedMs - mark.observedMs >= retentionMs);
  return { observedMs, marks: marks.slice(Math.max(0, lastExpired)) };
};

/** Returns the newest known revision that is at least `retentionMs` old; null if none is known. */
export const expiredRevision = (record: RetentionRecord, retentionMs: number): number | null =>
  record.marks.findLast((mark) => record.observedMs - mark.observedMs >= retentionMs)?.revision ??
  null;
