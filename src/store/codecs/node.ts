/** Codec of a node's registration (`nodes/<name>/<incarnation>`), which is attached to the node's lease. */
import * as z from 'zod';

/** Features that one incarnation of a node supports. */
export interface NodeCapabilities {
  /** whether the node takes part in the leader election of singleton controllers; versions without it store no field */
  readonly supportsElection: boolean;
  /** whether the node takes part in moves of machines between shards */
  readonly supportsRebalancing: boolean;
}

/** An incarnation of a node that is alive. */
export interface NodeRecord extends NodeCapabilities {
  readonly node: string;
  readonly incarnation: string;
}

/** Version of the leader election's stored records that this code reads and writes. */
const ELECTIONS_VERSION = 1;

/** Version of the rebalancing's stored records that this code reads and writes. */
const REBALANCING_VERSION = 1;

/** The stored form: `duties` is the version of the election's records, `shares` that of the rebalancing's records. */
const storedNodeSchema = z.object({
  incarnation: z.string(),
  duties: z.number().nullish(),
  shares: z.number().nullish(),
});

/** Returns the stored form of a registration. The node's name is part of the key only. */
export const encodeNode = (
  incarnation: string,
  { supportsElection, supportsRebalancing }: NodeCapabilities,
): z.infer<typeof storedNodeSchema> => ({
  incarnation,
  ...(supportsElection ? { duties: ELECTIONS_VERSION } : {}),
  ...(supportsRebalancing ? { shares: REBALANCING_VERSION } : {}),
});

/** Decodes a stored registration; `id` is the key without its prefix. Throws if the value is malformed. */
export const decodeNode = (id: string, value: unknown): NodeRecord => {
  const { incarnation, duties, shares } = storedNodeSchema.parse(value);
  return {
    node: id.slice(0, id.lastIndexOf('/')),
    incarnation,
    supportsElection: duties === ELECTIONS_VERSION,
    supportsRebalancing: shares === REBALANCING_VERSION,
  };
};
