/**
 * Proposals of this member that wait until their entries are committed and applied. When the
 * leadership ends, the outcome of pending proposals is unknown.
 */
import { LeadershipLostError } from './raft_errors.js';
import type { LogEntry } from './log_entry.js';

interface PendingProposal {
  readonly term: number;
  resolve(result: Uint8Array): void;
  reject(error: Error): void;
}

export class PendingProposals {
  private readonly pending = new Map<number, PendingProposal>();

  /**
   * Resolves once the entry at an index is applied; rejects if it is replaced by an entry of
   * another term.
   */
  wait(index: number, term: number): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
      this.pending.set(index, { term, resolve, reject });
    });
  }

  /** Settles the proposal at the index of an applied entry. */
  onApplied(entry: LogEntry, result: Uint8Array): void {
    const proposal = this.pending.get(entry.index);
    this.pending.delete(entry.index);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else
      proposal?.reject(
        new LeadershipLostError(
          'leadership lost: an entry of another leader replaced the proposal',
        ),
      );
  }

  /** Rejects all pending proposals, because this member no longer leads. */
  rejectAll(): void {
    for (const proposal of this.pending.values()) {
      proposal.reject(new LeadershipLostError('leadership lost before the proposal was applied'));
    }
    this.pending.clear();
  }
}
