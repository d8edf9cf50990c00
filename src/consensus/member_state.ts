/**
 * What all parts of one member share: its role, term, leader and membership.
 *
 * Owns these four in memory. Relies on the log for what must outlive the process (the vote and the membership entries);
 * nothing here waits for a disk or another machine, so nothing here can fail.
 */
import type { Clock, Messenger, RandomSource } from '../runtime/runtime.js';
import { Membership } from './membership.js';
import type { RaftLog } from './raft_log.js';

/** Role of a member. */
export type RaftRole = 'follower' | 'candidate' | 'leader';

/** What a member needs of its process. */
export interface RaftRuntime {
  /** Time and timers of this process. */
  readonly clock: Clock;
  /** Random draws of this process. */
  readonly random: RandomSource;
  /** The way to other processes. */
  readonly messenger: Messenger;
}

/** Is called on changes of a member. */
export interface RaftObserver {
  /** The member changed its role, in this term. */
  onRole?(role: RaftRole, term: number): void;
  /** Another leader is known, or this member now leads and has applied all that was committed before. */
  onLeadership?(): void;
  /** Everything up to this index is applied. */
  onApplied?(index: number): void;
}

/** Parts of the member that follow a change of the state; called before the change returns. */
export interface MemberStateListener {
  /** This member leads no longer. */
  onLeadershipEnded(): void;
  /** The members were read again from the log. */
  onMembershipReloaded(): void;
}

/** State of one member. */
export class MemberState {
  private currentRole: RaftRole = 'follower';
  private currentTerm: number;
  private currentMembership: Membership;
  /** Identity of the leader of the current term; empty while unknown. */
  leader = '';

  /**
   * @param id - identity of this member
   */
  constructor(
    readonly id: string,
    readonly log: RaftLog,
    readonly observer: RaftObserver,
    private readonly listener: MemberStateListener,
  ) {
    this.currentTerm = log.vote.term;
    this.currentMembership = Membership.fromMessage(log.membership);
  }

  /** Present role. */
  get role(): RaftRole {
    return this.currentRole;
  }

  /** Present term. */
  get term(): number {
    return this.currentTerm;
  }

  /** Members as of the newest entry, committed or not. */
  get membership(): Membership {
    return this.currentMembership;
  }

  /** Address of the leader; empty while unknown. */
  get leaderAddress(): string {
    return this.membership.find(this.leader)?.address ?? '';
  }

  /** Member that this one voted for in the present term; empty when it did not vote. */
  get votedFor(): string {
    const { vote } = this.log;
    return vote.term === this.term ? vote.votedFor : '';
  }

  /** Reads the members again after the log changed. */
  reloadMembership(): void {
    this.currentMembership = Membership.fromMessage(this.log.membership);
    this.listener.onMembershipReloaded();
  }

  /** Becomes a candidate in a new term. */
  becomeCandidate(term: number): void {
    this.currentTerm = term;
    this.setRole('candidate');
  }

  /** Becomes the leader of the present term. */
  becomeLeader(): void {
    this.setRole('leader');
    this.leader = this.id;
  }

  /** Becomes a follower, in a later term if `term` is one. */
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

  /** Steps down when a message shows a later term. */
  observeTerm(term: number): void {
    if (term > this.term) this.stepDown(term);
  }

  private setRole(role: RaftRole): void {
    if (this.role === role) return;
    this.currentRole = role;
    this.observer.onRole?.(role, this.term);
  }
}
