/**
 * Proposals of this member that wait until their entries are committed and applied.
 *
 * Owns the waiting proposals. Relies on the leadership: when it ends, the outcome of those that wait is unknown.
 */
import { LeadershipLostError } from './raft_errors.js';
import type { LogEntry } from './raft_log.js';

interface PendingProposal {
  readonly term: number;
  resolve(result: Uint8Array): void;
  reject(error: Error): void;
}

/** Waiting proposals of one member. */
export class PendingProposals {
  private readonly pending = new Map<number, PendingProposal>();

  /** Waits for the entry of a term at an index. */
  wait(index: number, term: number): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
      this.pending.set(index, { term, resolve, reject });
    });
  }

  /** Ends the wait for the place of an applied entry. */
  onApplied(entry: LogEntry, result: Uint8Array): void {
    const proposal = this.pending.get(entry.index);
    this.pending.delete(entry.index);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else proposal?.reject(new LeadershipLostError('another entry took this place'));
  }

  /** Ends all waits, since this member leads no longer. */
  rejectAll(): void {
    for (const proposal of this.pending.values()) {
      proposal.reject(new LeadershipLostError('leadership was lost'));
    }
    this.pending.clear();
  }
}
