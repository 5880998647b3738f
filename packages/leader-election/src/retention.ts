import * as z from 'zod';

/** A moment of the retention clock, and the store's revision at that moment. */
export interface RetentionMark {
  readonly observedMs: number;
  readonly revision: number;
}

/** What holders have observed of the passing of time. */
export interface RetentionRecord {
  /** ms that holders have seen pass while they held the duty */
  readonly observedMs: number;
  /** oldest first */
  readonly marks: readonly RetentionMark[];
}

/** No time was observed yet. */
export const EMPTY_RETENTION: RetentionRecord = { observedMs: 0, marks: [] };

/** marks for one retention time: what is kept is cleared at most a sixteenth of that time late */
const MARKS_PER_RETENTION = 16;

const count = z.number().nonnegative();
const record = z.object({
  observedMs: count,
  marks: z.array(z.object({ observedMs: count, revision: count.int() })),
});

/** Reads a stored record; throws if it is none. */
export const decodeRetention = (value: unknown): RetentionRecord => record.parse(value);

/**
 * Adds time that the holder's steady clock has seen pass since the record was written. Only that counts: a time of
 * day that jumps, or a spell without a holder, can make the clock late and never early. `clockDrift` is the
 * share by which a steady clock may be fast. `revision` is one that the store had reached before.
 */
export const observeElapsed = (
  old: RetentionRecord,
  passedMs: number,
  revision: number,
  { keepMs, clockDrift }: { readonly keepMs: number; readonly clockDrift: number },
): RetentionRecord => {
  const observedMs = old.observedMs + Math.max(0, passedMs) * (1 - clockDrift);
  const last = old.marks.at(-1);
  const due = last === undefined || observedMs - last.observedMs >= keepMs / MARKS_PER_RETENTION;
  const marks = due ? [...old.marks, { observedMs, revision }] : old.marks;
  // One mark that is old enough is needed; those before it say nothing more.
  const oldEnough = marks.findLastIndex((m) => observedMs - m.observedMs >= keepMs);
  return { observedMs, marks: marks.slice(Math.max(0, oldEnough)) };
};

/** The last revision that is at least `keepMs` old; null while none is known to be. */
export const expiredRevision = (record: RetentionRecord, keepMs: number): number | null =>
  record.marks.findLast((m) => record.observedMs - m.observedMs >= keepMs)?.revision ?? null;
