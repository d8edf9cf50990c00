/**
 * Decides which machines vote in a cluster whose machines come and go.
 *
 * The leader keeps a fixed number of voters. It replaces voters that are unreachable, or that lost
 * their disk, by learners that have caught up. One member changes at a time. An unreachable voter is
 * removed only after its replacement votes, because it may come back. A newer member at an address
 * supersedes the older ones there; a superseded voter never comes back and is removed first, so that
 * the promotion of its replacement needs no more members than are alive. See
 * docs/design/control-membership.md. Pure: no I/O, no clock.
 */
import type { Member, Membership } from './membership.js';

/** A voter without contact for longer is replaced once a learner is ready. */
const VOTER_TIMEOUT_MS = 1500;
/**
 * A learner without contact for longer is removed. It is not part of any quorum, so this is not
 * urgent.
 */
const LEARNER_TIMEOUT_MS = 10_000;

/** What the leader knows about the members. */
export interface MembershipFacts {
  readonly leaderId: string;
  /** Number of voters to maintain. */
  readonly voterCount: number;
  /** Milliseconds since the newest reply of a member. */
  readonly contactAgeMs: (id: string) => number;
  /** Number of log entries that a member lacks. */
  readonly missingEntries: (id: string) => number;
}

/**
 * Whether a newer member has the same address, which means that this one's disk was lost. Members are
 * listed in the order in which they joined.
 */
export function isSuperseded(member: Member, membership: Membership): boolean {
  const sameAddress = membership.members.filter((other) => other.address === member.address);
  return sameAddress.at(-1)?.id !== member.id;
}

/** Next change of a single member, or undefined if none is needed. */
export function nextMembership(
  membership: Membership,
  facts: MembershipFacts,
): Membership | undefined {
  const { voters } = membership;
  const isLost = (member: Member): boolean =>
    isSuperseded(member, membership) || facts.contactAgeMs(member.id) > VOTER_TIMEOUT_MS;
  const lostVoters = voters.filter((voter) => voter.id !== facts.leaderId && isLost(voter));
  const learners = membership.members.filter((member) => member.isLearner);
  const expiredLearner = learners.find(
    (learner) =>
      isSuperseded(learner, membership) || facts.contactAgeMs(learner.id) > LEARNER_TIMEOUT_MS,
  );
  if (expiredLearner) return membership.without(expiredLearner.id);
  const superseded = lostVoters.find((voter) => isSuperseded(voter, membership));
  if (superseded) return membership.without(superseded.id);
  if (voters.length > facts.voterCount) return dropOneVoter(membership, facts, lostVoters);
  const ready = learners.find(
    (learner) =>
      facts.contactAgeMs(learner.id) < VOTER_TIMEOUT_MS && facts.missingEntries(learner.id) <= 0,
  );
  const isNeeded = voters.length < facts.voterCount || lostVoters.length > 0;
  return ready && isNeeded ? membership.with({ ...ready, isLearner: false }) : undefined;
}

function dropOneVoter(
  membership: Membership,
  facts: MembershipFacts,
  lostVoters: readonly Member[],
): Membership | undefined {
  const [lost] = lostVoters;
  if (lost) return membership.without(lost.id);
  const newest = membership.voters.findLast((voter) => voter.id !== facts.leaderId);
  return newest && membership.with({ ...newest, isLearner: true });
}
