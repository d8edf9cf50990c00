/**
 * Watches the members of a consensus group for a claim that excludes other leaders: no other member may lead in a higher term
 * while one makes the claim, nor begin to lead in a higher term shortly after it.
 */
import type { RaftNode } from '../../src/consensus/raft_node.js';
import type { ConsensusGroup, RoleChange } from './consensus_group.js';

/** The newest claim of a member. */
interface Claim {
  readonly at: number;
  readonly term: number;
}

/** Interval of the looks at all members, in milliseconds. */
const LOOK_MS = 5;

/** The watch over one group. */
export class LeadershipWatch {
  readonly violations: string[] = [];
  /** Number of looks that found the claim. */
  claims = 0;
  private readonly lastClaims = new Map<string, Claim>();

  /**
   * @param hasClaim - whether a member makes the claim now
   * @param marginMs - for how long after a claim no other member may begin to lead
   */
  constructor(
    private readonly group: ConsensusGroup,
    private readonly hasClaim: (node: RaftNode) => boolean,
    private readonly marginMs: number,
  ) {
    group.onRoleChange = (change) => this.onRoleChange(change);
  }

  /** Looks at all members periodically. */
  start(): void {
    this.look();
    this.group.scheduler.schedule(LOOK_MS, () => this.start());
  }

  private look(): void {
    const { now } = this.group.scheduler;
    for (const node of this.runningNodes()) {
      if (!this.hasClaim(node)) continue;
      this.claims++;
      this.lastClaims.set(node.id, { at: now, term: node.currentTerm });
      const other = this.runningNodes().find(
        ({ id, role, currentTerm }) =>
          id !== node.id && role === 'leader' && currentTerm > node.currentTerm,
      );
      if (other)
        this.add(
          `${node.id} claims in ${node.currentTerm}, ${other.id} leads in ${other.currentTerm}`,
        );
    }
  }

  private onRoleChange({ role, member, term }: RoleChange): void {
    if (role !== 'leader') return;
    this.look();
    for (const [claimant, claim] of this.lastClaims) {
      const ageMs = this.group.scheduler.now - claim.at;
      // A claim may have ended any time before the look that missed it.
      const isRecent = ageMs <= this.marginMs + LOOK_MS;
      // A candidate that was stopped may win an older term; nothing that it proposes is committed.
      if (claimant === member || !isRecent || term <= claim.term) continue;
      const claimed = `a claim by ${claimant} in ${claim.term}`;
      this.add(`${member} leads in ${term} ${ageMs.toFixed(1)} ms after ${claimed}`);
    }
  }

  private runningNodes(): RaftNode[] {
    return this.group.machines.flatMap(({ isUp, node }) => (isUp && node ? [node] : []));
  }

  private add(text: string): void {
    this.violations.push(`${this.group.scheduler.now.toFixed(1)} ${text}`);
  }
}
