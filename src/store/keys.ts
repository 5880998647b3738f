/**
 * Names of everything that the service keeps in the key-value store. The prefixes are stored as they are
 * and must not change; some are older than the terms that the code uses (`parts/`: shards, `hires/`:
 * rentals, `duties/`: leader election, `shares/`: rebalancing). The values are in `codecs/`.
 */

/** Final states of jobs; too many to cache them all, so they are read on demand. */
export const FINAL_STATE_PREFIX = 'final/';

/** What every node lists and watches. */
export const CACHED_PREFIXES = [
  'parts/',
  'nodes/',
  'machines/',
  'hires/',
  'active/',
  'done/',
  'duties/',
  'shares/',
  'term',
] as const;

/** One of the prefixes that are cached; `term` is a single key. */
export type CachedPrefix = (typeof CACHED_PREFIXES)[number];

/** The cache's table of the values under each prefix. */
export const TABLE_OF_PREFIX = {
  'parts/': 'shards',
  'nodes/': 'nodes',
  'machines/': 'machineGroups',
  'hires/': 'rentals',
  'active/': 'activeJobs',
  'done/': 'completions',
  'duties/': 'elections',
  'shares/': 'moves',
  term: 'term',
} as const satisfies Record<CachedPrefix, string>;

/** The cached prefix that a key is under; null if it is not cached. */
export const cachedPrefixOf = (key: string): CachedPrefix | null =>
  CACHED_PREFIXES.find((prefix) => key.startsWith(prefix)) ?? null;

/** Keys by what they hold. */
export const storeKey = {
  shard: (index: number) => `parts/${index}`,
  node: (name: string, incarnation: string) => `nodes/${name}/${incarnation}`,
  machineGroup: (group: string) => `machines/${group}`,
  /** the group of a machine that no rental recorded */
  adoptedMachineGroup: (machine: string) => `machines/found-${machine}`,
  rental: (shard: number, name: string) => `hires/${shard}/${name}`,
  activeJob: (uid: string) => `active/${uid}`,
  finalState: (uid: string) => `${FINAL_STATE_PREFIX}${uid}`,
  completions: (shard: number, slot: number) => `done/${shard}/${slot}`,
  term: 'term',
  /** never written: reading it returns the store's present revision */
  probe: 'never',
} as const;

/** Keys of leader election and of the singleton controllers begin with this. */
export const ELECTIONS_PREFIX = 'duties/';

/** Keys of return intents begin with this. */
export const RETURN_INTENTS_PREFIX = `${ELECTIONS_PREFIX}returns/`;

/** Machines of a shard that are being returned, or machines that no shard has a record of. */
export type ReturnIntentList = number | 'unrecorded';

/** Keys of what the singleton controllers record, beside their election. */
export const electionEntryKey = {
  /** machines whose return was decided: nothing may be started on them any more */
  returns: (list: ReturnIntentList) => `${RETURN_INTENTS_PREFIX}${list}`,
  /** how much time has been observed since which revision */
  retention: `${ELECTIONS_PREFIX}retention`,
  /** changes whenever a final state is collected: acceptances from before then fail */
  acceptance: `${ELECTIONS_PREFIX}acceptance`,
} as const;
