import {
  decodeTransferRequest,
  describeLeadership,
  transferRequestKey,
  type LeadershipReport,
  type LeadershipStatus,
  type LeadershipTransferRequest,
} from '@sumacstep/leader-election';
import type { PlatformConfig } from '../config/platform.js';
import { SINGLETON_ROLES } from '../singletons/roles.js';
import { electionView } from '../singletons/singleton-election.js';
import { CALL_PRIORITY } from '../store/store-client.js';
import { key } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import { CommandError, EXIT } from './exit-codes.js';
import { StoreAccess } from './store-access.js';
import { table } from './table.js';

/** tries of a request that meets another one at the same moment */
const TRIES = 3;

/** A shard's ownership, which carries the duty of renting and returning its machines. */
export interface ShardOwnerStatus {
  readonly duty: string;
  readonly holder: string;
  readonly incarnation: string;
  readonly token: number;
  readonly until: LeadershipStatus['until'];
}

/** What `sumacstep duties --json` prints. */
export interface DutiesOutput extends LeadershipReport {
  readonly parts: readonly ShardOwnerStatus[];
}

const describeParts = ({ tables }: WatchCache): ShardOwnerStatus[] =>
  [...tables.shards].map(([index, { value }]) => {
    const living = tables.nodes.has(`${value.owner}/${value.incarnation}`);
    return {
      duty: key.shard(Number(index)),
      holder: value.owner,
      incarnation: value.incarnation,
      token: value.term,
      until: { kind: living ? 'lease_renewed' : 'lease_ended' },
    };
  });

const UNTIL: Readonly<Record<LeadershipStatus['until']['kind'], string>> = {
  lease_renewed: 'as long as its node renews its lease',
  lease_ended: 'over: the lease has ended',
  vacant: '-',
};

const time = (ms: number | null): string =>
  ms === null ? '-' : new Date(ms).toISOString().replace(/\.\d+Z$/, 'Z');

const handOver = (request: LeadershipStatus['handOver']): string =>
  request === null
    ? '-'
    : `to ${request.to ?? 'any'} (${request.id}), waits for ${request.waitsFor}`;

const render = ({ duties, pausedBy, parts }: DutiesOutput): string => {
  const rows = duties.map((duty) => [
    duty.duty,
    duty.holder ?? '-',
    String(duty.token ?? '-'),
    time(duty.sinceMs),
    UNTIL[duty.until.kind],
    handOver(duty.handOver),
  ]);
  const owners = parts.map((part) => [
    part.duty,
    part.holder,
    String(part.token),
    '-',
    UNTIL[part.until.kind],
    '-',
  ]);
  const titles = ['DUTY', 'HOLDER', 'TOKEN', 'SINCE', 'UNTIL', 'HAND-OVER'];
  const text = table(titles, [...rows, ...owners]);
  if (pausedBy.length === 0) return text;
  return `${text}paused: duties are not known to ${pausedBy.join(', ')}\n`;
};

/** Who holds each duty, since and until when. */
export const showLeadership = async (config: PlatformConfig, json: boolean): Promise<string> => {
  const store = new StoreAccess(config);
  try {
    const cache = await store.read(['parts/', 'nodes/', 'duties/']);
    const report = describeLeadership(electionView(cache.tables), SINGLETON_ROLES);
    const output: DutiesOutput = { ...report, parts: describeParts(cache) };
    return json ? `${JSON.stringify(output, null, 2)}\n` : render(output);
  } finally {
    store.close();
  }
};

const checkDuty = (duty: string): void => {
  if ((SINGLETON_ROLES as readonly string[]).includes(duty)) return;
  throw new CommandError(EXIT.badInput, `no such duty: ${duty} (${SINGLETON_ROLES.join(', ')})`);
};

const checkNode = (config: PlatformConfig, node: string): void => {
  const nodes = [config.node, ...config.peers.map((peer) => peer.node)];
  if (nodes.includes(node)) return;
  throw new CommandError(EXIT.badInput, `no such node: ${node} (${nodes.join(', ')})`);
};

/** What became of a request. */
export interface TransferRequestOutput {
  readonly duty: string;
  readonly request: LeadershipTransferRequest;
  /** false: the same request stood there already */
  readonly written: boolean;
}

/** Asks that a duty goes to another node. The same id is the same request; another one's is a conflict. */
export const requestTransfer = async (
  config: PlatformConfig,
  duty: string,
  request: LeadershipTransferRequest,
): Promise<TransferRequestOutput> => {
  checkDuty(duty);
  if (request.to !== null) checkNode(config, request.to);
  const store = new StoreAccess(config);
  const name = transferRequestKey(duty);
  try {
    for (let tries = 0; tries < TRIES; tries++) {
      const found = await store.attempt(() => store.client.get(name, CALL_PRIORITY.read));
      if (!('missing' in found)) {
        const standing = decodeTransferRequest(found.value);
        if (standing?.id === request.id) return { duty, request: standing, written: false };
        const id = standing?.id ?? 'one of another version';
        throw new CommandError(EXIT.conflict, `${duty}: another request waits (${id})`);
      }
      const guards = [{ key: name, revision: 0 }];
      const writes = [{ put: name, value: request }];
      const result = await store.attempt(() =>
        store.client.compareAndSwap(CALL_PRIORITY.rest, guards, writes),
      );
      if (result.ok) return { duty, request, written: true };
    }
    throw new CommandError(EXIT.conflict, `${duty}: others write requests at the same moment`);
  } finally {
    store.close();
  }
};

/** Takes a request back that is not carried out yet. False if there was none. */
export const withdrawTransfer = async (config: PlatformConfig, duty: string): Promise<boolean> => {
  checkDuty(duty);
  const store = new StoreAccess(config);
  const name = transferRequestKey(duty);
  try {
    const found = await store.attempt(() => store.client.get(name, CALL_PRIORITY.read));
    if ('missing' in found) return false;
    const guards = [{ key: name, revision: found.revision }];
    const writes = [{ drop: name }];
    const result = await store.attempt(() =>
      store.client.compareAndSwap(CALL_PRIORITY.rest, guards, writes),
    );
    return result.ok;
  } finally {
    store.close();
  }
};
