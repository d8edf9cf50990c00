/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): an order of nodes for each key that all processes
 * agree on, and that changes little when nodes come and go. Owns the orders of the keys in use; pure, nothing can fail.
 */

/** Hash of a text; the same in all processes that share keys. */
export type TextHash = (text: string) => bigint;

interface WeightedNode {
  readonly node: string;
  readonly weight: bigint;
}

/** Heavier nodes come first. */
function compareNodes(left: WeightedNode, right: WeightedNode): number {
  if (left.weight !== right.weight) return left.weight > right.weight ? -1 : 1;
  return left.node < right.node ? -1 : 1;
}

/**
 * The heaviest nodes of many keys, kept while nodes come and go: a new node costs one hash for each key, a
 * lost one a new order for the few keys that it was among the heaviest of.
 */
export class RendezvousTable {
  private nodes: ReadonlySet<string> = new Set();
  private readonly heaviest = new Map<string, WeightedNode[]>();

  /**
   * @param count - nodes kept for each key
   */
  constructor(
    private readonly count: number,
    private readonly hash: TextHash,
  ) {}

  /** Sets the nodes; returns whether they changed. */
  setNodes(nodes: ReadonlySet<string>): boolean {
    const added = [...nodes].filter((node) => !this.nodes.has(node));
    const removed = [...this.nodes].filter((node) => !nodes.has(node));
    this.nodes = nodes;
    if (added.length + removed.length === 0) return false;
    for (const [key, kept] of this.heaviest) {
      if (kept.some(({ node }) => removed.includes(node))) this.heaviest.delete(key);
      else for (const node of added) this.insert(kept, this.weigh(key, node));
    }
    return true;
  }

  /** At most `count` nodes of a key, heaviest first. */
  top(key: string): readonly string[] {
    let kept = this.heaviest.get(key);
    if (!kept) {
      kept = [];
      for (const node of this.nodes) this.insert(kept, this.weigh(key, node));
      this.heaviest.set(key, kept);
    }
    return kept.map((item) => item.node);
  }

  /** Forgets keys that are not used any more. */
  retainKeys(keys: ReadonlySet<string>): void {
    for (const key of this.heaviest.keys()) if (!keys.has(key)) this.heaviest.delete(key);
  }

  private weigh(key: string, node: string): WeightedNode {
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
