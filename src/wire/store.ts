/**
 * Messages between the service and the key-value store. The protocol's words, mapped here and nowhere else:
 *
 * | wire                     | model                                        |
 * | ------------------------ | -------------------------------------------- |
 * | Epoch                    | revision that the store has reached          |
 * | Stamp                    | revision of a key's last change; 0: none     |
 * | When, Writes             | guards, writes of a compare-and-swap         |
 * | Permit                   | lease                                        |
 * | News, Put, Drop          | changes of a watch: key written, key removed |
 * | Entries, Truncated       | a page of a listing, more                    |
 */
import type { Guard, Write } from '@sumacstep/leader-election';
import * as z from 'zod';
import type { Changes, Entry, Page } from '../store/types.js';

const revisionSchema = z.number().int().nonnegative();

const entryFieldsSchema = z.object({
  K: z.string(),
  Value: z.unknown().optional(),
  Stamp: revisionSchema,
  Permit: z.number().nullish(),
});

/** One key and its value. */
export const entrySchema = entryFieldsSchema.transform((entry): Entry => ({
  key: entry.K,
  value: entry.Value,
  revision: entry.Stamp,
  lease: entry.Permit ?? null,
}));

/** The store's revision, which is all that the answers for a missing key and for a commit hold. */
export const storeRevisionSchema = z
  .object({ Epoch: revisionSchema })
  .transform((body) => body.Epoch);

/** One page of a listing. */
export const listingSchema = z
  .object({
    Entries: z.array(entryFieldsSchema),
    Truncated: z.boolean().nullish(),
    Epoch: revisionSchema,
  })
  .transform((body): Page => ({
    entries: body.Entries.map((entry) => ({
      key: entry.K,
      value: entry.Value,
      revision: entry.Stamp,
    })),
    more: body.Truncated ?? false,
    storeRevision: body.Epoch,
  }));

/** The keys whose guards have failed. */
export const conflictSchema = z
  .object({ failed: z.array(z.string()).nullish(), Epoch: revisionSchema.nullish() })
  .transform((body) => body.failed ?? []);

/** The id of a new lease. */
export const leaseSchema = z.object({ Permit: z.number() }).transform((body) => body.Permit);

/** Changes since the revision that was asked for; a removal carries no value. */
export const watchSchema = z
  .object({
    Epoch: revisionSchema,
    News: z.array(
      z.object({
        Put: z.string().nullish(),
        Drop: z.string().nullish(),
        Value: z.unknown().optional(),
        Stamp: revisionSchema,
      }),
    ),
  })
  .transform((body): Changes => ({
    storeRevision: body.Epoch,
    changes: body.News.map((change) => {
      const removed = change.Drop !== undefined && change.Drop !== null;
      const key = (removed ? change.Drop : change.Put) ?? '';
      return { key, revision: change.Stamp, value: change.Value, removed };
    }),
  }));

/** A compare-and-swap: the writes happen together, and only if every guard holds. */
export const transactionBody = (guards: readonly Guard[], writes: readonly Write[]): unknown => ({
  When: guards.map((guard) => ({ K: guard.key, Stamp: guard.revision })),
  Writes: writes.map((write) => {
    if ('drop' in write) return { Drop: write.drop };
    if (write.lease === undefined) return { Put: write.put, Value: write.value };
    return { Put: write.put, Value: write.value, Permit: write.lease };
  }),
});

/** A request for a lease. */
export const leaseBody = (ttlMs: number): unknown => ({ TtlMs: ttlMs });
