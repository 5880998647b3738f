/** The in-memory types of the cached prefixes, and the decoder of each. */
import type { JobRecord } from '../../core/model.js';
import type { CachedPrefix } from '../keys.js';
import { decodeCompletions, type CompletionBitmaps } from './completions.js';
import { decodeElectionEntry, type ElectionEntry } from './election-entry.js';
import { decodeJob } from './job.js';
import { decodeMachineGroup, type MachineGroup } from './machine-group.js';
import { decodeNode, type NodeRecord } from './node.js';
import { decodeRebalancingEntry, type RebalancingEntry } from './rebalancing-entry.js';
import { decodeRental, type RentalRecord } from './rental.js';
import { decodeShard, type ShardRecord } from './shard.js';
import { decodeTerm } from './term.js';

/** Types of the decoded values, by prefix of their keys. */
export interface CachedValues {
  'active/': JobRecord;
  'done/': CompletionBitmaps;
  'machines/': MachineGroup;
  'parts/': ShardRecord;
  'nodes/': NodeRecord;
  'hires/': RentalRecord;
  'duties/': ElectionEntry;
  'shares/': RebalancingEntry;
  term: number;
}

/** Decoders by prefix; `id` is the key without its prefix. A decoder throws if the value is malformed. */
export const decoders: {
  [P in CachedPrefix]: (id: string, value: unknown) => CachedValues[P];
} = {
  'active/': decodeJob,
  'done/': (_id, value) => decodeCompletions(value),
  'machines/': (_id, value) => decodeMachineGroup(value),
  'parts/': (_id, value) => decodeShard(value),
  'nodes/': decodeNode,
  'hires/': decodeRental,
  'duties/': decodeElectionEntry,
  'shares/': decodeRebalancingEntry,
  term: (_id, value) => decodeTerm(value),
};
