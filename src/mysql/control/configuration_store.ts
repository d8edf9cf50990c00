/**
 * The replicated state machine of accepted configurations.
 *
 * Owns the documents, the first outcomes of submissions and the history; they change by committed commands only, so they are the
 * same on every control machine. Relies on nothing that can fail.
 */
import type { StateMachine } from '../../consensus/log_applier.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { SubmissionKind, SubmissionOutcome, Verdict } = whinyoke;

/** Outcomes kept so that a resend gets the first one. Part of the replicated state: all machines must agree on it. */
const MAXIMUM_OUTCOMES = 2000;
/** Entries kept for `whinyoke history`. Part of the replicated state: all machines must agree on it. */
const MAXIMUM_HISTORY = 1000;

/** Accepted configurations, first outcomes of submissions, and history. */
export class ConfigurationStore implements StateMachine {
  private currentRevision = 0;
  private readonly documents = new Map<string, whinyoke.IConfigurationDocument>();
  private readonly outcomes = new Map<string, whinyoke.ISubmitReply>();
  private history: whinyoke.IHistoryEntry[] = [];
  private readonly listeners = new Set<() => void>();

  /** Revision of the newest accepted change. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Documents in force. */
  get inForce(): readonly whinyoke.IConfigurationDocument[] {
    return [...this.documents.values()].filter((document) => !document.withdrawn);
  }

  /** Documents changed after `revision`, withdrawn ones included. */
  changedSince(revision: number): whinyoke.IConfigurationDocument[] {
    return [...this.documents.values()].filter((document) => (document.revision ?? 0) > revision);
  }

  /** Outcome of an earlier submission. */
  outcomeOf(submissionId: string): whinyoke.ISubmitReply | undefined {
    return this.outcomes.get(submissionId);
  }

  /** Newest history entries, newest first. */
  recentHistory(limit: number): whinyoke.IHistoryEntry[] {
    return this.history.slice(-limit).reverse();
  }

  /** Calls `listener` once after the next accepted change; returns how to cancel that. */
  onNextChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Applies a committed submission; the result is its outcome. */
  apply(_index: number, command: Uint8Array): Uint8Array {
    const decoded = whinyoke.StoreCommand.decode(command);
    const reply = this.applySubmission(decoded.submission ?? {}, decoded.checkedRevision);
    return whinyoke.SubmitReply.encode(reply).finish();
  }

  /** Whole state, for a snapshot. */
  serialize(): Uint8Array {
    const outcomes = [...this.outcomes].map(([submissionId, reply]) => ({ submissionId, reply }));
    return whinyoke.StoreSnapshot.encode({
      revision: this.currentRevision,
      documents: [...this.documents.values()],
      outcomes,
      history: this.history,
    }).finish();
  }

  /** Replaces the state by that of a snapshot. */
  restore(_lastIndex: number, state: Uint8Array): void {
    const snapshot = whinyoke.StoreSnapshot.decode(state);
    this.currentRevision = snapshot.revision;
    this.documents.clear();
    this.outcomes.clear();
    for (const document of snapshot.documents) this.documents.set(document.name ?? '', document);
    for (const { submissionId, reply } of snapshot.outcomes) {
      this.outcomes.set(submissionId ?? '', reply ?? {});
    }
    this.history = [...snapshot.history];
    this.notify();
  }

  private applySubmission(
    submission: whinyoke.ISubmitRequest,
    checkedRevision: number,
  ): whinyoke.ISubmitReply {
    const id = submission.submissionId ?? '';
    const first = this.outcomes.get(id);
    if (first) return first;
    if (checkedRevision !== this.currentRevision) {
      return { outcome: SubmissionOutcome.RECHECK, verdict: Verdict.NOT_RUN };
    }
    const reply = this.conflictOf(submission) ?? this.accept(submission);
    this.outcomes.set(id, reply);
    if (this.outcomes.size > MAXIMUM_OUTCOMES) {
      this.outcomes.delete(this.outcomes.keys().next().value ?? '');
    }
    if (reply.outcome === SubmissionOutcome.ACCEPTED) this.notify();
    return reply;
  }

  private conflictOf(submission: whinyoke.ISubmitRequest): whinyoke.ISubmitReply | undefined {
    if (!submission.hasBaseRevision) return undefined;
    const current = this.documents.get(submission.name ?? '');
    const revision = current?.revision ?? 0;
    if (revision <= (submission.baseRevision ?? 0)) return undefined;
    const winner = this.history.findLast((entry) => entry.revision === revision);
    const who = winner ? ` by ${winner.operator} (submission ${winner.submissionId})` : '';
    return {
      outcome: SubmissionOutcome.CONFLICT,
      verdict: Verdict.NOT_RUN,
      revision: this.currentRevision,
      detail: `'${submission.name}' was changed in revision ${revision}${who}`,
    };
  }

  private accept(submission: whinyoke.ISubmitRequest): whinyoke.ISubmitReply {
    const withdrawn = submission.kind === SubmissionKind.WITHDRAW;
    const name = submission.name ?? '';
    this.currentRevision++;
    const revision = this.currentRevision;
    this.documents.set(name, {
      name,
      revision,
      document: withdrawn ? '' : submission.document,
      withdrawn,
    });
    const { kind, operator, submissionId } = submission;
    this.history.push({ revision, name, kind, operator, submissionId });
    if (this.history.length > MAXIMUM_HISTORY) this.history.shift();
    return { outcome: SubmissionOutcome.ACCEPTED, verdict: Verdict.RAN, revision };
  }

  private notify(): void {
    const listeners = [...this.listeners];
    this.listeners.clear();
    for (const listener of listeners) listener();
  }
}
