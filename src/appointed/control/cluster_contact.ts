/**
 * Tells which other control machines replied recently, and whether this machine's copy of the
 * replicated state can be outdated.
 */
import type { RaftNode } from '../../consensus/raft_node.js';
import type { Clock } from '../../runtime/runtime.js';
import { StallDetector } from '../../runtime/stall_detector.js';

/**
 * After a stall of this process, a follower does not trust its state for this long. A leader sends
 * updates every 100 ms.
 */
const STALL_RECOVERY_MS = 1000;
/** A control machine without a reply for longer counts as unreachable. */
const CONTACT_TIMEOUT_MS = 1000;

export class ClusterContact {
  private readonly stalls: StallDetector;

  constructor(
    private readonly node: RaftNode,
    private readonly clock: Clock,
  ) {
    this.stalls = new StallDetector(clock);
  }

  /** Starts to watch for stalls of this process. */
  start(): void {
    this.stalls.start();
  }

  stop(): void {
    this.stalls.stop();
  }

  /** Whether the control machine at an address replied recently; meaningful only on the leader. */
  isInTouch(address: string): boolean {
    const member = this.node.membership.members.findLast((item) => item.address === address);
    return member !== undefined && this.node.contactAgeMs(member.id) < CONTACT_TIMEOUT_MS;
  }

  /**
   * Whether this machine's copy of the replicated state is as new as any majority's. A leader has
   * proof of that; any other member must have run without a stall and must have received a message
   * of its leader recently.
   */
  get isCurrent(): boolean {
    if (this.node.role === 'leader') return this.node.isReadyLeader;
    const since = this.clock.now() - STALL_RECOVERY_MS;
    return this.node.hasQuorum && !this.stalls.hasStalledSince(since);
  }
}
