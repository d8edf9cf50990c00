/**
 * Rendezvous hashing (Thaler and Ravishankar 1998). Each key ranks the nodes by a hash of key and node, so processes with
 * the same set of nodes compute the same ranking without communication. Adding or removing a node does not change the
 * relative order of the others.
 */

/** Hash function for texts. All processes that must agree on a ranking must use the same one. */
export type TextHash = (text: string) => bigint;

interface WeightedNode {
  readonly node: string;
  readonly weight: bigint;
}

/** Orders nodes by descending weight, then by name. */
function compareNodes(left: WeightedNode, right: WeightedNode): number {
  if (left.weight !== right.weight) return left.weight > right.weight ? -1 : 1;
  return left.node < right.node ? -1 : 1;
}

/**
 * Caches the highest-ranked nodes of each key. An added node costs one hash per key; a removed node requires a new ranking
 * only of the keys that had it among their highest-ranked nodes.
 */
export class RendezvousTable {
  private nodes: ReadonlySet<string> = new Set();
  private readonly ranked = new Map<string, WeightedNode[]>();

  /**
   * @param count - number of nodes cached per key
   */
  constructor(
    private readonly count: number,
    private readonly hash: TextHash,
  ) {}

  /** Replaces the set of nodes; returns whether it changed. */
  setNodes(nodes: ReadonlySet<string>): boolean {
    const added = [...nodes].filter((node) => !this.nodes.has(node));
    const removed = [...this.nodes].filter((node) => !nodes.has(node));
    this.nodes = nodes;
    if (added.length + removed.length === 0) return false;
    for (const [key, kept] of this.ranked) {
      if (kept.some(({ node }) => removed.includes(node))) this.ranked.delete(key);
      else for (const node of added) this.insert(kept, this.weightedNode(key, node));
    }
    return true;
  }

  /** The highest-ranked nodes of a key, at most `count`, best first. */
  top(key: string): readonly string[] {
    let kept = this.ranked.get(key);
    if (!kept) {
      kept = [];
      for (const node of this.nodes) this.insert(kept, this.weightedNode(key, node));
      this.ranked.set(key, kept);
    }
    return kept.map((item) => item.node);
  }

  /** Drops the cached rankings of all other keys. */
  retainKeys(keys: ReadonlySet<string>): void {
    for (const key of this.ranked.keys()) if (!keys.has(key)) this.ranked.delete(key);
  }

  private weightedNode(key: string, node: string): WeightedNode {
    return { node, weight: this.hash(`${key}\n${node}`) };
  }

  private insert(kept: WeightedNode[], candidate: WeightedNode): void {
    const last = kept.at(-1);
    if (kept.length >= this.count && last && compareNodes(candidate, last) > 0) return;
    const index = kept.findIndex((item) => compareNodes(candidate, item) < 0);
    kept.splice(index < 0 ? kept.length : index, 0, candidate);
    if (kept.length > this.count) kept.pop();
  }
}
