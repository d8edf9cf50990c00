/**
 * Role, term, leader and membership of one member, shared by the parts of a `RaftNode`.
 *
 * This is in-memory state. The vote and the membership entries, which must survive a restart, are
 * in the log.
 */
import type { Clock, Messenger, RandomSource } from '../runtime/runtime.js';
import { Membership } from './membership.js';
import type { RaftLog } from './raft_log.js';

export type RaftRole = 'follower' | 'candidate' | 'leader';

/** What a member needs of its process. */
export interface RaftRuntime {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Sends messages to other processes. */
  readonly messenger: Messenger;
}

/** Callbacks for changes of a member. */
export interface RaftObserver {
  /** The member changed its role, in this term. */
  onRole?(role: RaftRole, term: number): void;
  /** Another leader is known, or this member leads and has applied all entries committed before. */
  onLeadership?(): void;
  /** All entries up to this index are applied. */
  onApplied?(index: number): void;
}

/** Parts of the member that depend on its state; called before the change returns. */
export interface MemberStateListener {
  /** This member no longer leads. */
  onLeadershipEnded(): void;
  /** The membership was read again from the log. */
  onMembershipReloaded(): void;
}

export class MemberState {
  private currentRole: RaftRole = 'follower';
  private currentTerm: number;
  private currentMembership: Membership;
  /** Identity of the leader of the current term; empty if unknown. */
  leader = '';

  /** @param id - identity of this member */
  constructor(
    readonly id: string,
    readonly log: RaftLog,
    readonly observer: RaftObserver,
    private readonly listener: MemberStateListener,
  ) {
    this.currentTerm = log.vote.term;
    this.currentMembership = Membership.fromMessage(log.membership);
  }

  get role(): RaftRole {
    return this.currentRole;
  }

  get term(): number {
    return this.currentTerm;
  }

  /** Membership as of the newest entry, committed or not. */
  get membership(): Membership {
    return this.currentMembership;
  }

  /** Address of the leader; empty if unknown. */
  get leaderAddress(): string {
    return this.membership.find(this.leader)?.address ?? '';
  }

  /** Member that this one voted for in the current term; empty if it has not voted. */
  get votedFor(): string {
    const { vote } = this.log;
    return vote.term === this.term ? vote.votedFor : '';
  }

  /** Reads the membership again after the log changed. */
  reloadMembership(): void {
    this.currentMembership = Membership.fromMessage(this.log.membership);
    this.listener.onMembershipReloaded();
  }

  /** Becomes a candidate in a new term. */
  becomeCandidate(term: number): void {
    this.currentTerm = term;
    this.setRole('candidate');
  }

  /** Becomes the leader of the current term. */
  becomeLeader(): void {
    this.setRole('leader');
    this.leader = this.id;
  }

  /** Becomes a follower, and enters `term` if it is later than the current one. */
  stepDown(term: number): void {
    const wasLeader = this.role === 'leader';
    if (term > this.term) {
      this.currentTerm = term;
      this.leader = '';
    }
    this.setRole('follower');
    if (!wasLeader) return;
    this.leader = '';
    this.listener.onLeadershipEnded();
  }

  /** Steps down if a message has a later term. */
  observeTerm(term: number): void {
    if (term > this.term) this.stepDown(term);
  }

  private setRole(role: RaftRole): void {
    if (this.role === role) return;
    this.currentRole = role;
    this.observer.onRole?.(role, this.term);
  }
}
