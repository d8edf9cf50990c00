/**
 * Health of one group's primary in one epoch, derived from this proxy's own statements and connections.
 *
 * A failed connection, or an answer that the instance is no primary, is reported at once. Statements without any answer
 * for {@link REPORTED_SILENCE_MS} make the primary silent, also where only commits get none; otherwise an answer within
 * {@link ANSWER_LIFETIME_MS} makes it healthy. A proxy that reaches the primary only through connection owners can't tell a
 * lost owner from a lost primary: it reports that no owner answered, and control probes the primary itself.
 */
import { ANSWER_LIFETIME_MS, REPORTED_SILENCE_MS } from '../leases/primary_health_times.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { PrimaryHealth } = whinyoke;

/**
 * Statements unanswered for longer than this open another connection: existing connections may be dead while new ones
 * work. Less than {@link REPORTED_SILENCE_MS} by a maintenance interval (100 ms) and the time to connect.
 */
const SUSPECT_AFTER_MS = 200;

/** Health report on a primary; control counts those of all proxies. */
interface PrimaryHealthReport {
  readonly health: whinyoke.PrimaryHealth;
  /** How long the primary has been in this state, in milliseconds; for a healthy one the age of the newest answer. */
  readonly sinceMs: number;
  /** Whether only commits and writes are unanswered. */
  readonly isCommitsOnly: boolean;
  /** Whether the report says only that connection owners did not answer. */
  readonly isThroughOwners: boolean;
}

/**
 * Silence continues across abandoned statements when the next one is sent within this time: control waits longer
 * (`src/appointed/failover/primary_failure.ts`) than statements do.
 */
const MAX_SILENCE_GAP_MS = 1000;

/** How long statements that no connection owner answered are reported. */
const OWNERS_SILENCE_LIFETIME_MS = 1000;

/** Period in which statements got no answer, from the primary or from any connection owner. */
interface Silence {
  readonly since: number;
  readonly newestAt: number;
}

/** A statement whose answer is awaited. */
interface SentStatement {
  /** Records its end. */
  end(isAnswered: boolean, endedAt: number): void;
  /** It was not sent after all, so it says nothing of the primary. */
  cancel(): void;
}

/** Statements of one kind that were sent and have no answer yet. */
class UnansweredStatements {
  private readonly sentTimes = new Map<number, number>();
  private lastAnswerAt = -Infinity;
  /** Statements since the last answer that were abandoned without one. */
  private abandoned: Silence | undefined;
  private nextKey = 1;

  start(now: number): number {
    const key = this.nextKey++;
    this.sentTimes.set(key, now);
    return key;
  }

  /** Forgets a statement that was not sent after all. */
  cancel(key: number): void {
    this.sentTimes.delete(key);
  }

  end(key: number, isAnswered: boolean, now: number): void {
    const sentAt = this.sentTimes.get(key);
    this.sentTimes.delete(key);
    if (isAnswered) this.recordAnswer(now);
    else if (sentAt !== undefined && sentAt >= this.lastAnswerAt) {
      this.abandoned = { since: this.silenceBegan(sentAt), newestAt: now };
    }
  }

  recordAnswer(now: number): void {
    this.lastAnswerAt = now;
    this.abandoned = undefined;
  }

  /** Since when statements are unanswered; undefined while that is not longer than `silenceMs`. */
  silentSince(now: number, silenceMs: number): number | undefined {
    // The map iterates in the order in which statements were sent.
    for (const sentAt of this.sentTimes.values()) {
      if (sentAt < this.lastAnswerAt) continue;
      return now - sentAt > silenceMs ? this.silenceBegan(sentAt) : undefined;
    }
    return undefined;
  }

  /** Start of the silence that includes a statement sent at `sentAt`. */
  private silenceBegan(sentAt: number): number {
    const { since, newestAt } = this.abandoned ?? { since: sentAt, newestAt: sentAt };
    return sentAt - newestAt <= MAX_SILENCE_GAP_MS ? Math.min(since, sentAt) : sentAt;
  }

  get answeredAt(): number {
    return this.lastAnswerAt;
  }
}

/** Health tracker of one group in one epoch. */
export class PrimaryHealthTracker {
  private readonly all = new UnansweredStatements();
  private readonly commits = new UnansweredStatements();
  private ownersSilence: Silence | undefined;
  private failure: { health: whinyoke.PrimaryHealth; since: number } | undefined;

  /** Records a statement that was sent; the returned function records its end. */
  onStatementSent(mayCommit: boolean, now: number): SentStatement {
    const key = this.all.start(now);
    const commitKey = mayCommit ? this.commits.start(now) : undefined;
    return {
      end: (isAnswered, endedAt) => {
        this.all.end(key, isAnswered, endedAt);
        if (commitKey !== undefined) this.commits.end(commitKey, isAnswered, endedAt);
        if (isAnswered) this.failure = undefined;
      },
      cancel: () => {
        this.all.cancel(key);
        if (commitKey !== undefined) this.commits.cancel(commitKey);
      },
    };
  }

  /** Records that a connection could not be opened, or that the instance says it is no primary. */
  onFailure(health: whinyoke.PrimaryHealth, now: number): void {
    if (this.failure?.health === health) return;
    this.failure = { health, since: this.failure?.since ?? now };
  }

  /** Records that the primary accepted a connection, so it is alive whatever else is unanswered. */
  onConnectionOpened(now: number): void {
    this.all.recordAnswer(now);
  }

  /** Records that no connection owner answered a statement for the primary. */
  onOwnersSilent(now: number): void {
    this.ownersSilence = { since: this.ownersSilence?.since ?? now, newestAt: now };
  }

  /** Records that a connection owner returned an answer of the primary. */
  onOwnerAnswered(): void {
    this.ownersSilence = undefined;
  }

  /** Whether statements are unanswered for long enough to try another connection. */
  isSuspect(now: number): boolean {
    const since = this.all.silentSince(now, SUSPECT_AFTER_MS);
    return since !== undefined && this.failure === undefined;
  }

  /** Current health report; undefined without recent evidence. */
  healthReport(now: number): PrimaryHealthReport | undefined {
    return this.directHealthReport(now) ?? this.healthReportThroughOwners(now);
  }

  private directHealthReport(now: number): PrimaryHealthReport | undefined {
    const { failure } = this;
    if (failure) return directReport(failure.health, now - failure.since);
    const allSince = this.all.silentSince(now, REPORTED_SILENCE_MS);
    if (allSince !== undefined) return directReport(PrimaryHealth.SILENT, now - allSince);
    const commitsSince = this.commits.silentSince(now, REPORTED_SILENCE_MS);
    if (commitsSince !== undefined) {
      return directReport(PrimaryHealth.SILENT, now - commitsSince, true);
    }
    const age = now - this.all.answeredAt;
    return age <= ANSWER_LIFETIME_MS ? directReport(PrimaryHealth.HEALTHY, age) : undefined;
  }

  private healthReportThroughOwners(now: number): PrimaryHealthReport | undefined {
    const silence = this.ownersSilence;
    if (!silence || now - silence.newestAt > OWNERS_SILENCE_LIFETIME_MS) return undefined;
    const sinceMs = now - silence.since;
    return {
      health: PrimaryHealth.SILENT,
      sinceMs,
      isCommitsOnly: false,
      isThroughOwners: true,
    };
  }
}

/** Report based on this proxy's own connections. */
function directReport(
  health: whinyoke.PrimaryHealth,
  sinceMs: number,
  isCommitsOnly = false,
): PrimaryHealthReport {
  return { health, sinceMs, isCommitsOnly, isThroughOwners: false };
}
