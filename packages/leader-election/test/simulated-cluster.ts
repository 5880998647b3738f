/** A cluster of simulated nodes on virtual time, and the history of everything that their leaders did. */
import {
  decodeLeaderRecord,
  fencedCompareAndSwap,
  leaderKey,
  type Authorization,
  type CompareAndSwapStore,
  type LeaderRecord,
} from '@sumacstep/leader-election';
import type { ElectionEvent } from './history.js';
import {
  LEADER_WRITE_KEY,
  ROLE,
  SimulatedNode,
  type ClusterFaults,
  type NodeEnvironment,
} from './simulated-node.js';
import { SimulatedStore } from './simulated-store.js';
import { electionViewOf } from './store-view.js';
import { VirtualTime } from './virtual-time.js';

/** A fast network and exact clocks. */
export const NO_FAULTS: ClusterFaults = {
  delayMs: () => 5,
  callOutcome: () => 'normal',
  lateByMs: () => 0,
  isRefused: () => false,
  drift: () => 0,
};

/** Nodes, a store, a machine that compares fencing tokens, and a cloud that does not. */
export class SimulatedCluster implements NodeEnvironment {
  readonly time = new VirtualTime();
  readonly store = new SimulatedStore(this.time);
  readonly history: ElectionEvent[] = [];
  readonly nodes: SimulatedNode[] = [];
  /** machines that the cloud took back although a leader uses them */
  readonly violations: string[] = [];
  readonly counts = { rejectedByMachine: 0, returned: 0, used: 0 };
  timeOfDay = 0;
  #newestMachineToken = 0;
  #nextMachine = 0;
  /** nodes whose calls the store refuses */
  readonly #unreachable = new Set<string>();
  #incarnations = 0;

  constructor(
    private readonly faults: ClusterFaults,
    /** ms until the cloud carries a return out */
    private readonly cloudDelayMs: () => number = () => 10,
  ) {
    this.store.observe((writes) => {
      for (const write of writes) {
        if (!('put' in write)) continue;
        if (write.put === LEADER_WRITE_KEY) {
          this.history.push({ kind: 'executed', by: 'store', token: write.value as number });
        } else if (write.put === leaderKey(ROLE))
          this.#recordAcquisition(decodeLeaderRecord(write.value));
      }
    });
    this.time.every(50, () => {
      this.store.expire();
    });
  }

  /** Starts a new incarnation of a node. */
  start(node: string, supportsElection = true): SimulatedNode {
    this.#incarnations += 1;
    const isRefused = () => this.#unreachable.has(node);
    const faults: ClusterFaults = { ...this.faults, isRefused };
    const started = new SimulatedNode(
      this,
      node,
      `life${this.#incarnations}`,
      faults,
      supportsElection,
    );
    this.nodes.push(started);
    return started;
  }

  /** Makes the store refuse one node's calls, or serve them again. */
  setUnreachable(node: string, unreachable: boolean): void {
    if (unreachable) this.#unreachable.add(node);
    else this.#unreachable.delete(node);
  }

  /** Whether the node's calls reach the store. */
  reaches(node: SimulatedNode): boolean {
    return !this.#unreachable.has(node.node);
  }

  /** The incarnation that the store's record names. */
  get leader(): SimulatedNode | null {
    const record = electionViewOf(this.store).records.get(ROLE)?.value;
    const incarnation = record?.holder?.incarnation;
    return this.nodes.find((node) => node.incarnation === incarnation) ?? null;
  }

  /** The fencing token in the store's record; 0 without one. */
  get token(): number {
    return electionViewOf(this.store).records.get(ROLE)?.value.token ?? 0;
  }

  #recordAcquisition({ holder, token }: LeaderRecord): void {
    if (holder === null) return;
    this.history.push({ kind: 'acquired', leader: holder.incarnation, token });
  }

  /** Notes an order that the node's own check has let pass. */
  recordSent(node: SimulatedNode, { fencingToken: token }: Authorization): void {
    this.history.push({ kind: 'sent', leader: node.incarnation, token });
  }

  /** Sends a command, which arrives later, to a machine that compares its fencing token. */
  commandMachine(node: SimulatedNode, authorization: Authorization): void {
    const { fencingToken: token } = authorization;
    this.time.after(this.faults.delayMs(), () => {
      if (token < this.#newestMachineToken) {
        this.counts.rejectedByMachine += 1;
        const newer = this.#newestMachineToken;
        node.runWhenAwake(() => {
          authorization.recordRejection('machine', newer);
        });
        return;
      }
      this.#newestMachineToken = token;
      this.history.push({ kind: 'executed', by: 'machine', token });
    });
  }

  /**
   * Two machines for each call: one is recorded as used, one is returned. The return's intent and the use depend on
   * the same list, so that no machine that is used is ever returned, however late the cloud carries it out.
   */
  async useOrReturn(
    node: SimulatedNode,
    store: CompareAndSwapStore,
    authorization: Authorization,
  ): Promise<void> {
    const name = `machine${this.#nextMachine % 50}`;
    this.#nextMachine += 7;
    const list = this.store.items.get('returns');
    const returning = (list?.value as readonly string[] | undefined) ?? [];
    if (returning.includes(name) || this.store.items.has(`used/${name}`)) return;
    const use = this.#nextMachine % 2 === 0;
    const write = use
      ? { put: `used/${name}`, value: true }
      : { put: 'returns', value: [...returning, name] };
    const guards = [
      { key: 'returns', revision: list?.revision ?? 0 },
      { key: `used/${name}`, revision: 0 },
    ];
    const outcome = await fencedCompareAndSwap(store, authorization, 'normal', guards, [write]);
    if (!outcome.ok) return;
    if (use) {
      this.counts.used += 1;
      return;
    }
    authorization.ensureValid();
    this.recordSent(node, authorization);
    this.time.after(this.cloudDelayMs(), () => {
      this.counts.returned += 1;
      if (this.store.items.has(`used/${name}`)) this.violations.push(`${name} returned and used`);
    });
  }
}
