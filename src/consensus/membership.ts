/** Members of a consensus cluster and the sizes of their majorities. Values without any state; nothing here can fail. */
import type { whinyoke } from '../protocol/generated/messages.js';

/** One member. Its name is made anew when its disk was lost. */
export interface Member {
  /** Identity, from the member's disk. */
  readonly id: string;
  /** Where others reach it. */
  readonly address: string;
  /** Receives the log but does not vote. */
  readonly isLearner: boolean;
}

/** An immutable set of members. */
export class Membership {
  /** No members: a machine that is in no cluster. */
  static readonly empty = new Membership([]);

  constructor(readonly members: readonly Member[]) {}

  /** Reads a message. */
  static fromMessage(message: whinyoke.IMembership | undefined): Membership {
    const members = (message?.members ?? []).map((member) => ({
      id: member.id ?? '',
      address: member.address ?? '',
      isLearner: member.learner ?? false,
    }));
    return new Membership(members);
  }

  /** Message form. */
  toMessage(): whinyoke.IMembership {
    const members = this.members.map(({ id, address, isLearner }) => ({
      id,
      address,
      learner: isLearner,
    }));
    return { members };
  }

  /** Members that vote. */
  get voters(): readonly Member[] {
    return this.members.filter((member) => !member.isLearner);
  }

  /** Member of that name. */
  find(id: string): Member | undefined {
    return this.members.find((member) => member.id === id);
  }

  /** Whether the member votes. */
  isVoter(id: string): boolean {
    return this.find(id)?.isLearner === false;
  }

  /** Position of a voter in the order of their names, from 0; undefined for one that does not vote. */
  rankOfVoter(id: string): number | undefined {
    if (!this.isVoter(id)) return undefined;
    return this.voters.filter((voter) => voter.id < id).length;
  }

  /** Whether these members include a majority of the voters. */
  isQuorum(ids: ReadonlySet<string>): boolean {
    const voters = this.voters;
    const present = voters.filter((voter) => ids.has(voter.id)).length;
    return present * 2 > voters.length;
  }

  /** With a member added, or replaced when its name is known. */
  with(member: Member): Membership {
    const others = this.members.filter((known) => known.id !== member.id);
    return new Membership([...others, member]);
  }

  /** Without a member. */
  without(id: string): Membership {
    return new Membership(this.members.filter((member) => member.id !== id));
  }
}
