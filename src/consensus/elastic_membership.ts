/**
 * DECISION: which machines vote, in a cluster whose machines come and go.
 *
 * Answers: control machines that are lost for good, that lost their disk, or that come back.
 * Inputs: the membership, milliseconds since each member answered, entries that each member lacks, voters to keep.
 * Rule: keeps a fixed number of voters and replaces those that are lost by learners that have caught up. One member changes
 *   at a time; a voter is removed only after its successor votes. A later member at an address replaces an earlier one there.
 * Constants: below. See docs/design/control-membership.md. Pure.
 */
import type { Member, Membership } from './membership.js';

/** A voter that is silent for longer is replaced when a learner is ready, in milliseconds. A guess, not measured. */
const VOTER_TIMEOUT_MS = 1500;
/** A learner that is silent for longer is removed, in milliseconds: it holds up nothing. A guess, not measured. */
const LEARNER_TIMEOUT_MS = 10_000;

/** What the leader knows of the members. */
export interface MembershipFacts {
  /** Identity of the leader. */
  readonly leaderId: string;
  /** Number of voters to keep. */
  readonly voterCount: number;
  /** Milliseconds since a member answered. */
  readonly contactAgeMs: (id: string) => number;
  /** Entries that a member lacks. */
  readonly missingEntries: (id: string) => number;
}

/** Whether a later member has the same address: this one's disk was lost. */
function isSuperseded(member: Member, membership: Membership): boolean {
  const sameAddress = membership.members.filter((other) => other.address === member.address);
  return sameAddress.at(-1)?.id !== member.id;
}

/** The next single change, or undefined when nothing is to do. */
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
  const superseded = lostVoters.find((voter) => isSuperseded(voter, membership));
  const lost = superseded ?? lostVoters[0];
  if (lost) return membership.without(lost.id);
  const newest = membership.voters.findLast((voter) => voter.id !== facts.leaderId);
  return newest && membership.with({ ...newest, isLearner: true });
}
