/** Keys of the simulated store, and the election view that a node's watch shows of it. */
import {
  decodeLeaderRecord,
  decodeTransferRequest,
  LEADER_PREFIX,
  TRANSFER_REQUEST_PREFIX,
  type ElectionView,
  type LeaderRecord,
  type LeadershipTransferRequest,
  type LiveMember,
  type Member,
  type Versioned,
} from '@sumacstep/leader-election';
import type { SimulatedStore } from './simulated-store.js';

const NODE_PREFIX = 'nodes/';

/** Returns the key that is attached to a member's lease. */
export const memberKey = ({ node, incarnation }: Member): string =>
  `${NODE_PREFIX}${node}/${incarnation}`;

/** Returns the value of a member's key, which tells whether the member supports elections. */
export const memberValue = (supportsElection: boolean): string =>
  supportsElection ? 'supports' : 'older';

/** Returns the members, leader records and transfer requests that the store holds now. */
export const electionViewOf = (store: SimulatedStore): ElectionView => {
  const members: LiveMember[] = [];
  const records = new Map<string, Versioned<LeaderRecord>>();
  const transferRequests = new Map<string, Versioned<LeadershipTransferRequest>>();
  for (const [key, { value, revision }] of store.items) {
    if (key.startsWith(NODE_PREFIX)) {
      const [node = '', incarnation = ''] = key.slice(NODE_PREFIX.length).split('/');
      const supportsElection = value === memberValue(true);
      members.push({ node, incarnation, revision, supportsElection });
    } else if (key.startsWith(LEADER_PREFIX)) {
      records.set(key.slice(LEADER_PREFIX.length), { value: decodeLeaderRecord(value), revision });
    } else if (key.startsWith(TRANSFER_REQUEST_PREFIX)) {
      const request = decodeTransferRequest(value);
      if (request === null) continue;
      const role = key.slice(TRANSFER_REQUEST_PREFIX.length);
      transferRequests.set(role, { value: request, revision });
    }
  }
  return { members, records, transferRequests };
};
