/**
 * DECISION: whether a primary that is ready and in the catalog has failed.
 *
 * Answers: a primary that crashed, stands still or is cut off; one whose connection owners are lost while it is well; one
 *   whose queue is full, or whose connections fell silent; one that can't commit since no replica receives from it.
 * Inputs: verdict of the proxies (`primary_health_opinions.ts`), age of its newest heartbeat, age of its epoch, and what it
 *   answered to control itself (`direct_questions.ts`); times in milliseconds.
 * Rule:
 *   - more proxies find it bad than use it, and two of them do, or one and a late heartbeat, or one and control has no
 *     answer itself. Silence right after a change counts only later.
 *   - silence alone is not believed while heartbeats are fresh and the primary answers control. Then it needs a proof
 *     that its commits don't reach a replica, or that no proxy uses it for {@link DISBELIEVED_MS}.
 *   - proxies that reach no connection owner are believed once control has no answer itself, twice in a row.
 *   - with no good opinion, a heartbeat that is missing for long is enough.
 * Constants: below. Tests: test/unit/primary_trouble.test.ts. Pure.
 */
import type { ProbeEvidence } from './primary_prober.js';
import type { PrimaryHealthSummary } from './primary_health_reports.js';

/** Without any opinion of a proxy, heartbeats must be missing for this long, in milliseconds. A guess, not measured. */
const MISSING_HEARTBEAT_MS = 5000;
/** One proxy alone is believed when the primary's heartbeat is older than this, in milliseconds. A guess, not measured. */
const LATE_HEARTBEAT_MS = 1500;
/** Silence soon after a change is more likely load than a fault, for this many milliseconds. A guess, not measured. */
const SETTLING_MS = 2000;
/**
 * A primary that answers control is replaced when no proxy could use it for this long, in milliseconds: all ways from the
 * proxies to it may be cut. Longer than connections that fell silent take to be replaced. A guess, not measured.
 */
const UNUSED_PRIMARY_TIMEOUT_MS = 1500;
/**
 * A primary that no proxy uses has this long to answer control's first question before it is given up, in milliseconds: it had
 * 400 before. test/simulation/silent_primary.test.ts holds the whole: with 250 a write waited for 780, without for 700 at most.
 */
const FIRST_PROBE_GRACE_MS = 80;
/** Questions in a row that must stay without an answer where proxies know no more than that owners are lost. */
const MIN_FAILED_PROBES = 2;
/** Proxies that must find no owner: one alone may be cut off itself. */
const MIN_PROXIES_WITHOUT_OWNER = 2;

/** Everything that decides. */
export interface PrimaryFailureInput {
  readonly healthSummary: PrimaryHealthSummary;
  /** Age of the primary's newest heartbeat, in milliseconds. */
  readonly heartbeatAgeMs: number;
  /** Time since its epoch began, in milliseconds. */
  readonly epochAgeMs: number;
  /** What it answered to control itself. */
  readonly probeEvidence: ProbeEvidence;
}

/** Whether control should ask the primary itself: some proxy finds it silent, or reaches none of its owners. */
export function shouldProbePrimary({ silent, withoutOwner }: PrimaryHealthSummary): boolean {
  return silent > 0 || withoutOwner > 0;
}

/** Why the primary is to be replaced; undefined when it is not. */
export function primaryFailureReason(input: PrimaryFailureInput): string | undefined {
  const { healthSummary, heartbeatAgeMs } = input;
  const { unhealthy, healthy, prevailingFailure, withoutOwner } = healthSummary;
  const heartbeat = `heartbeat age ${Math.round(heartbeatAgeMs)} ms`;
  if (unhealthy > healthy) {
    const text = `${unhealthy} proxies find it ${prevailingFailure}, ${healthy} use it; ${heartbeat}`;
    if (isConfirmed(input) && isSettled(input) && !isContradicted(input)) return text;
  }
  const isProbeFailing =
    healthy === 0 && input.probeEvidence.consecutiveFailures >= MIN_FAILED_PROBES;
  if (isProbeFailing && withoutOwner >= MIN_PROXIES_WITHOUT_OWNER) {
    return `${withoutOwner} proxies reach no owner of its connections, control has no answer; ${heartbeat}`;
  }
  const isMissing = healthy === 0 && heartbeatAgeMs > MISSING_HEARTBEAT_MS;
  return isMissing ? `no heartbeat for ${Math.round(heartbeatAgeMs)} ms` : undefined;
}

function isConfirmed({
  healthSummary,
  heartbeatAgeMs,
  probeEvidence,
}: PrimaryFailureInput): boolean {
  const isSeenByControl = probeEvidence.consecutiveFailures >= MIN_FAILED_PROBES;
  return healthSummary.unhealthy >= 2 || heartbeatAgeMs > LATE_HEARTBEAT_MS || isSeenByControl;
}

function isSettled({ healthSummary, epochAgeMs }: PrimaryFailureInput): boolean {
  return healthSummary.prevailingFailure !== 'silent' || epochAgeMs > SETTLING_MS;
}

/** Whether the primary is alive by its heartbeat and its answer to control, so that silence needs a better proof. */
function isContradicted({
  healthSummary,
  heartbeatAgeMs,
  probeEvidence,
}: PrimaryFailureInput): boolean {
  if (healthSummary.prevailingFailure !== 'silent' || heartbeatAgeMs > LATE_HEARTBEAT_MS)
    return false;
  if (probeEvidence.firstProbePendingMs !== undefined)
    return healthSummary.healthy > 0 || probeEvidence.firstProbePendingMs < FIRST_PROBE_GRACE_MS;
  if (!probeEvidence.isAnswered || probeEvidence.isReplicationStalled) return false;
  const isUnusedTooLong =
    healthSummary.healthy === 0 && healthSummary.longestFailureMs > UNUSED_PRIMARY_TIMEOUT_MS;
  return !isUnusedTooLong;
}
