/** Tells which other control machines replied recently. */
import type { RaftNode } from '../../consensus/raft_node.js';

/** A control machine without a reply for longer counts as unreachable. */
const CONTACT_TIMEOUT_MS = 1000;

/** Whether the control machine at an address replied recently; meaningful only on the leader. */
export function isInTouch(node: RaftNode, address: string): boolean {
  const member = node.membership.members.findLast((item) => item.address === address);
  return member !== undefined && node.contactAgeMs(member.id) < CONTACT_TIMEOUT_MS;
}
