/** Immutable membership of a consensus cluster, with its quorum rule. */
import type { whinyoke } from '../protocol/generated/messages.js';

/** A member. A machine whose disk was lost gets a new identity. */
export interface Member {
  /** Identity stored on the member's disk. */
  readonly id: string;
  /** Address at which other members reach it. */
  readonly address: string;
  /** Receives the log but does not vote. */
  readonly isLearner: boolean;
}

export class Membership {
  constructor(readonly members: readonly Member[]) {}

  static fromMessage(message: whinyoke.IMembership | undefined): Membership {
    const members = (message?.members ?? []).map((member) => ({
      id: member.id ?? '',
      address: member.address ?? '',
      isLearner: member.learner ?? false,
    }));
    return new Membership(members);
  }

  toMessage(): whinyoke.IMembership {
    const members = this.members.map(({ id, address, isLearner }) => ({
      id,
      address,
      learner: isLearner,
    }));
    return { members };
  }

  get voters(): readonly Member[] {
    return this.members.filter((member) => !member.isLearner);
  }

  find(id: string): Member | undefined {
    return this.members.find((member) => member.id === id);
  }

  isVoter(id: string): boolean {
    return this.find(id)?.isLearner === false;
  }

  /** Rank of a voter when sorted by identity, from 0; undefined for members that do not vote. */
  rankOfVoter(id: string): number | undefined {
    if (!this.isVoter(id)) return undefined;
    return this.voters.filter((voter) => voter.id < id).length;
  }

  /** Whether the members include a majority of the voters. */
  isQuorum(ids: ReadonlySet<string>): boolean {
    const voters = this.voters;
    const present = voters.filter((voter) => ids.has(voter.id)).length;
    return present * 2 > voters.length;
  }

  /** Returns a membership in which a member is added, or replaced if its identity is known. */
  with(member: Member): Membership {
    const others = this.members.filter((known) => known.id !== member.id);
    return new Membership([...others, member]);
  }

  /** Returns a membership without a member. */
  without(id: string): Membership {
    return new Membership(this.members.filter((member) => member.id !== id));
  }
}
