/**
 * What this control machine knows of the others at the moment: who answered lately, and whether what it knows of the
 * replicated state can be outdated.
 *
 * Owns the detector of stalls of this process. Relies on the consensus member's account of answers; any other machine may
 * be out of reach.
 */
import type { RaftNode } from '../../consensus/raft_node.js';
import type { Clock } from '../../runtime/runtime.js';
import { StallDetector } from '../../runtime/stall_detector.js';

/**
 * After it stood still a member waits this long before it acts on what it knew, in milliseconds: a leader sends news every
 * 100 ms. A guess, not measured.
 */
const STALL_RECOVERY_MS = 1000;
/** A control machine that answered within this time is in touch, in milliseconds. A guess, not measured. */
const CONTACT_TIMEOUT_MS = 1000;

/** Contact of one control machine with the others. */
export class ClusterContact {
  private readonly stalls: StallDetector;

  constructor(
    private readonly node: RaftNode,
    private readonly clock: Clock,
  ) {
    this.stalls = new StallDetector(clock);
  }

  /** Starts to look for stalls of this process. */
  start(): void {
    this.stalls.start();
  }

  /** Stops to look for stalls. */
  stop(): void {
    this.stalls.stop();
  }

  /** Whether the control machine at an address answered lately; only on the leader. */
  isInTouch(address: string): boolean {
    const member = this.node.membership.members.findLast((item) => item.address === address);
    return member !== undefined && this.node.contactAgeMs(member.id) < CONTACT_TIMEOUT_MS;
  }

  /**
   * Whether what this machine knows of the replicated state is as new as any majority knows. A leader has proof of that;
   * any other member must have run without a stall, and have heard of its leader lately.
   */
  get isCurrent(): boolean {
    if (this.node.role === 'leader') return this.node.isReadyLeader;
    const since = this.clock.now() - STALL_RECOVERY_MS;
    return this.node.hasQuorum && !this.stalls.hasStalledSince(since);
  }
}
