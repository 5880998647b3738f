/** The nodes registered in the store, as the watch cache shows them. */
import type { WatchCache } from '../store/watch-cache.js';

/** Returns the incarnations with a valid lease, by node. A node that restarts quickly has two for a while. */
export const liveIncarnations = ({ tables }: WatchCache): Map<string, Set<string>> => {
  const live = new Map<string, Set<string>>();
  for (const { value } of tables.nodes.values()) {
    const incarnations = live.get(value.node) ?? new Set();
    incarnations.add(value.incarnation);
    live.set(value.node, incarnations);
  }
  return live;
};
