/**
 * Keys of everything that the service keeps in the key-value store. The prefixes are part of the stored data and
 * must not change; some are older than the terms that the code uses (`parts/`: shards, `hires/`: rentals,
 * `duties/`: leader election, `shares/`: rebalancing). The codecs of the values are in `codecs/`.
 */

/** Prefix of the final states of jobs. There are too many to cache them all, so they are read on demand. */
export const FINAL_STATE_PREFIX = 'final/';

/** Prefixes that every node lists and watches. */
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

/** One of the cached prefixes; `term` is a single key. */
export type CachedPrefix = (typeof CACHED_PREFIXES)[number];

/** The table of the cache that holds the values under each prefix. */
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

/** Returns the cached prefix that a key begins with, or null if the key is not cached. */
export const cachedPrefixOf = (key: string): CachedPrefix | null =>
  CACHED_PREFIXES.find((prefix) => key.startsWith(prefix)) ?? null;

/** Builds the key of each kind of stored value. */
export const storeKey = {
  shard: (index: number) => `parts/${index}`,
  node: (name: string, incarnation: string) => `nodes/${name}/${incarnation}`,
  machineGroup: (group: string) => `machines/${group}`,
  /** the group of one machine that was found at the cloud without a record of its rental */
  adoptedMachineGroup: (machine: string) => `machines/found-${machine}`,
  rental: (shard: number, name: string) => `hires/${shard}/${name}`,
  activeJob: (uid: string) => `active/${uid}`,
  finalState: (uid: string) => `${FINAL_STATE_PREFIX}${uid}`,
  completions: (shard: number, slot: number) => `done/${shard}/${slot}`,
  term: 'term',
  /** a key that is never written: the answer to reading it holds the store's present revision */
  probe: 'never',
} as const;

/** Prefix of the keys of leader election and of the singleton controllers. */
export const ELECTIONS_PREFIX = 'duties/';

/** Prefix of the lists of return intents: machines whose return to the cloud was decided. */
export const RETURN_INTENTS_PREFIX = `${ELECTIONS_PREFIX}returns/`;

/**
 * Identifies a list of return intents: the index of the shard that has a record of the machines, or `unrecorded` for
 * machines of which no shard has a record.
 */
export type ReturnIntentList = number | 'unrecorded';

/** Builds the keys of the singleton controllers' records other than those of the election. */
export const electionEntryKey = {
  /** machines whose return was decided: no task may be started on them any more */
  returns: (list: ReturnIntentList) => `${RETURN_INTENTS_PREFIX}${list}`,
  /** the retention clock: how much time has been observed since which revisions */
  retention: `${ELECTIONS_PREFIX}retention`,
  /**
   * changes with each transaction that deletes final states; acceptances of jobs are guarded by it, so those that
   * were prepared earlier fail
   */
  acceptance: `${ELECTIONS_PREFIX}acceptance`,
} as const;
