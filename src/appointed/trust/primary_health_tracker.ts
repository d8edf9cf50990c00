/**
 * DECISION: whether the primary of one group is healthy in one epoch, as this proxy's own statements show it. Owns which statements
 * are unanswered; relies on nothing that may fail.
 *
 * Answers: a primary that stops, hangs, refuses connections or says that it is none.
 * Inputs: when statements were sent and answered, when connections opened or failed (ms of this process's clock).
 * A proxy that reaches the primary through connection owners only can't tell a lost owner from a lost primary: it reports that
 * no owner answered, which control takes as a reason to ask the primary itself.
 * Rule: a failed connection, or an answer that it is no primary, is an opinion at once; statements without any answer for
 * {@link REPORTED_SILENCE_MS} make it silent, also where only commits have none; otherwise an answer within
 * {@link ANSWER_LIFETIME_MS} makes it healthy. Silence is as old as the first statement since the last answer.
 * Shown by: test/unit/router.test.ts.
 */
import { ANSWER_LIFETIME_MS, REPORTED_SILENCE_MS } from '../leases/primary_health_times.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { PrimaryHealth } = whinyoke;

/**
 * Statements without an answer for longer than this have another connection opened, in milliseconds: connections may fall
 * silent for good while new ones work. Before {@link REPORTED_SILENCE_MS} by a round of upkeep (100 ms) and the time to open one.
 * Guess, not measured.
 */
const SUSPECT_AFTER_MS = 200;

/** Opinion on a primary, which control counts with those of other proxies. */
interface PrimaryHealthReport {
  readonly health: whinyoke.PrimaryHealth;
  /** How long the primary has been like this, in milliseconds; for a healthy one the age of the newest answer. */
  readonly sinceMs: number;
  /** Whether only commits and writes stay without an answer. */
  readonly isCommitsOnly: boolean;
  /** Whether this proxy knows no more than that connection owners did not answer. */
  readonly isThroughOwners: boolean;
}

/**
 * Silence goes on over statements that were given up when the next one is sent within this time, in milliseconds: control waits
 * longer (`src/appointed/failover/primary_trouble.ts`) than statements do. Guess, not measured.
 */
const MAX_SILENCE_GAP_MS = 1000;

/** For how long statements that no connection owner answered are reported, in milliseconds. Guess, not measured. */
const OWNERS_SILENCE_LIFETIME_MS = 1000;

/** Statements of this proxy that nobody answered, or no connection owner. */
interface Silence {
  readonly since: number;
  readonly newestAt: number;
}

/** Statements of one kind that were sent and not answered yet. */
class UnansweredStatements {
  private readonly sentTimes = new Map<number, number>();
  private lastAnswerAt = -Infinity;
  /** Statements since the last answer that were given up. */
  private abandoned: Silence | undefined;
  private nextKey = 1;

  start(now: number): number {
    const key = this.nextKey++;
    this.sentTimes.set(key, now);
    return key;
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

  /** Since when statements stay without any answer; undefined while that is not longer than `silenceMs`. */
  silentSince(now: number, silenceMs: number): number | undefined {
    // Statements are kept in the order in which they were sent.
    for (const sentAt of this.sentTimes.values()) {
      if (sentAt < this.lastAnswerAt) continue;
      return now - sentAt > silenceMs ? this.silenceBegan(sentAt) : undefined;
    }
    return undefined;
  }

  /** When the silence began in which a statement was sent. */
  private silenceBegan(sentAt: number): number {
    const { since, newestAt } = this.abandoned ?? { since: sentAt, newestAt: sentAt };
    return sentAt - newestAt <= MAX_SILENCE_GAP_MS ? Math.min(since, sentAt) : sentAt;
  }

  get answeredAt(): number {
    return this.lastAnswerAt;
  }
}

/** Tracker of one group in one epoch. */
export class PrimaryHealthTracker {
  private readonly all = new UnansweredStatements();
  private readonly commits = new UnansweredStatements();
  private ownersSilence: Silence | undefined;
  private failure: { health: whinyoke.PrimaryHealth; since: number } | undefined;

  /** Notes a statement that was sent; returns what ends it. */
  onStatementSent(mayCommit: boolean, now: number): (isAnswered: boolean, endedAt: number) => void {
    const keys = { all: this.all.start(now), commit: mayCommit ? this.commits.start(now) : 0 };
    return (isAnswered, endedAt) => {
      this.all.end(keys.all, isAnswered, endedAt);
      if (mayCommit) this.commits.end(keys.commit, isAnswered, endedAt);
      if (isAnswered) this.failure = undefined;
    };
  }

  /** Notes that a connection could not be opened, or that the instance says it is no primary. */
  onFailure(health: whinyoke.PrimaryHealth, now: number): void {
    if (this.failure?.health === health) return;
    this.failure = { health, since: this.failure?.since ?? now };
  }

  /** Notes that the primary opened a connection: whatever stays without an answer, it is alive. */
  onConnectionOpened(now: number): void {
    this.all.recordAnswer(now);
  }

  /** Notes that no connection owner answered a statement for the primary. */
  onOwnersSilent(now: number): void {
    this.ownersSilence = { since: this.ownersSilence?.since ?? now, newestAt: now };
  }

  /** Notes that a connection owner passed on an answer of the primary. */
  onOwnerAnswered(): void {
    this.ownersSilence = undefined;
  }

  /** Whether statements are without any answer for long enough to try another connection. */
  isSuspect(now: number): boolean {
    const since = this.all.silentSince(now, SUSPECT_AFTER_MS);
    return since !== undefined && this.failure === undefined;
  }

  /** Present opinion; undefined without recent evidence. */
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

/** Opinion that rests on connections of this proxy. */
function directReport(
  health: whinyoke.PrimaryHealth,
  sinceMs: number,
  isCommitsOnly = false,
): PrimaryHealthReport {
  return { health, sinceMs, isCommitsOnly, isThroughOwners: false };
}
