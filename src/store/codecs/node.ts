/** Codec of a node's registration (`nodes/<name>/<incarnation>`), which is attached to its lease. */
import * as z from 'zod';

/** What one incarnation of a node takes part in. */
export interface NodeCapabilities {
  /** leader election of singleton controllers; versions that don't know it store nothing about it */
  readonly supportsElection: boolean;
  /** moves of machines between shards */
  readonly supportsRebalancing: boolean;
}

/** A node that is alive. */
export interface NodeRecord extends NodeCapabilities {
  readonly node: string;
  readonly incarnation: string;
}

/** Version of the election's records that this code reads and writes. */
const ELECTIONS_VERSION = 1;

/** Version of the moves' records that this code reads and writes. */
const REBALANCING_VERSION = 1;

/** Stored: `duties` is the election's version, `shares` the rebalancing's. */
const storedNodeSchema = z.object({
  incarnation: z.string(),
  duties: z.number().nullish(),
  shares: z.number().nullish(),
});

/** A registration as it is stored; the key holds the node's name. */
export const encodeNode = (
  incarnation: string,
  { supportsElection, supportsRebalancing }: NodeCapabilities,
): z.infer<typeof storedNodeSchema> => ({
  incarnation,
  ...(supportsElection ? { duties: ELECTIONS_VERSION } : {}),
  ...(supportsRebalancing ? { shares: REBALANCING_VERSION } : {}),
});

/** Reads a stored registration; `id` is the key without its prefix. */
export const decodeNode = (id: string, value: unknown): NodeRecord => {
  const { incarnation, duties, shares } = storedNodeSchema.parse(value);
  return {
    node: id.slice(0, id.lastIndexOf('/')),
    incarnation,
    supportsElection: duties === ELECTIONS_VERSION,
    supportsRebalancing: shares === REBALANCING_VERSION,
  };
};
