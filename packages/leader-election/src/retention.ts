/**
 * The retention clock: how long ago a store revision was reached, by time that successive leaders have observed.
 * Property names are the stored form.
 */
import * as z from 'zod';

/** A moment of the retention clock, and the store's revision at that moment. */
export interface RetentionMark {
  readonly observedMs: number;
  readonly revision: number;
}

/** The time that leaders have observed, and the revisions that they had reached meanwhile. */
export interface RetentionRecord {
  /** ms that leaders have seen pass on their steady clocks while they led */
  readonly observedMs: number;
  /** oldest first */
  readonly marks: readonly RetentionMark[];
}

/** The record before any time was observed. */
export const EMPTY_RETENTION: RetentionRecord = { observedMs: 0, marks: [] };

/** marks for one retention time: values are collected at most a sixteenth of that time late */
const MARKS_PER_RETENTION = 16;

const nonNegative = z.number().nonnegative();
const recordSchema = z.object({
  observedMs: nonNegative,
  marks: z.array(z.object({ observedMs: nonNegative, revision: nonNegative.int() })),
});

/** Reads a stored record; throws a `ZodError` if the value is none. */
export const decodeRetention = (value: unknown): RetentionRecord => recordSchema.parse(value);

/** How long values are retained, and how exact the clocks are. */
export interface RetentionOptions {
  /** ms */
  readonly retentionMs: number;
  /** share by which a steady clock may be fast */
  readonly clockDrift: number;
}

/**
 * Adds `passedMs`, the time that the leader's steady clock has seen pass since the record was written. Nothing
 * else counts: a time of day that jumps, or a spell without a leader, can make the retention clock late and
 * never early. `revision` is one that the store had reached before.
 */
export const observeElapsed = (
  previous: RetentionRecord,
  passedMs: number,
  revision: number,
  { retentionMs: keepMs, clockDrift }: RetentionOptions,
): RetentionRecord => {
  const observedMs = previous.observedMs + Math.max(0, passedMs) * (1 - clockDrift);
  const last = previous.marks.at(-1);
  const due = last === undefined || observedMs - last.observedMs >= keepMs / MARKS_PER_RETENTION;
  const marks = due ? [...previous.marks, { observedMs, revision }] : previous.marks;
  // One mark that is old enough is needed; those before it add nothing.
  const oldEnough = marks.findLastIndex((mark) => observedMs - mark.observedMs >= keepMs);
  return { observedMs, marks: marks.slice(Math.max(0, oldEnough)) };
};

/** The last revision that is at least `keepMs` old; null while none is known to be. */
export const expiredRevision = (record: RetentionRecord, keepMs: number): number | null =>
  record.marks.findLast((mark) => record.observedMs - mark.observedMs >= keepMs)?.revision ?? null;
