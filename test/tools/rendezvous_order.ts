/**
 * Reference implementation of rendezvous hashing, against which the cached RendezvousTable is
 * tested.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Nodes in the order of their weight for `key`, heaviest first. */
export function rendezvousOrder(key: string, nodes: readonly string[]): string[] {
  const weighted = nodes.map((node) => ({ node, weight: hasher.h64(`${key}\n${node}`) }));
  weighted.sort((left, right) => {
    if (left.weight !== right.weight) return left.weight > right.weight ? -1 : 1;
    return left.node < right.node ? -1 : 1;
  });
  return weighted.map((item) => item.node);
}
