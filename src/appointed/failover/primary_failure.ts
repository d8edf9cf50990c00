/**
 * Decides whether a primary that is ready in the catalog has failed, from health reports of proxies, heartbeats and probes.
 *
 * - It has failed when more proxies report it unhealthy than use it, and either two proxies do, or one does and its
 *   heartbeat is late or control's probes fail too. Silence soon after a change counts only later.
 * - Silence alone is not enough while heartbeats are fresh and the primary answers probes, since a full queue or dead
 *   connections look the same to proxies. It then needs proof that commits reach no replica, or that no proxy has been able
 *   to use it for {@link UNUSED_PRIMARY_TIMEOUT_MS}.
 * - Proxies that reach no connection owner count once control's own probes failed twice in a row.
 * - Without a healthy report, a heartbeat that is missing for {@link MISSING_HEARTBEAT_MS} is enough.
 *
 * Pure.
 */
import type { ProbeEvidence } from './primary_prober.js';
import type { PrimaryHealthSummary } from './primary_health_reports.js';

/** Heartbeats must be missing for this long where no proxy uses the primary. */
const MISSING_HEARTBEAT_MS = 5000;
/** One proxy's report suffices when the primary's heartbeat is older than this. */
const LATE_HEARTBEAT_MS = 1500;
/** Silence within this time after a change is more likely load than a failure. */
const SETTLING_MS = 2000;
/**
 * A primary that answers control is replaced when no proxy could use it for this long: all routes from proxies to it may be
 * cut. Longer than it takes to replace dead connections.
 */
const UNUSED_PRIMARY_TIMEOUT_MS = 1500;
/**
 * Time for a primary that no proxy uses to answer control's first probe. Part of the longest wait of a write that
 * test/simulation/silent_primary.test.ts bounds.
 */
const FIRST_PROBE_GRACE_MS = 80;
/** Probes in a row that must fail where proxies only know that connection owners are lost. */
const MIN_FAILED_PROBES = 2;
/** Proxies that must find no owner: a single one may be cut off itself. */
const MIN_PROXIES_WITHOUT_OWNER = 2;

/** Input of the decision. */
export interface PrimaryFailureInput {
  readonly healthSummary: PrimaryHealthSummary;
  /** Age of the primary's newest heartbeat. */
  readonly heartbeatAgeMs: number;
  readonly epochAgeMs: number;
  /** Results of control's own probes. */
  readonly probeEvidence: ProbeEvidence;
}

/** Whether control should probe the primary itself: a proxy finds it silent, or reaches none of its owners. */
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
    return `${withoutOwner} proxies reach no connection owner, probes by control failed; ${heartbeat}`;
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

/** Whether heartbeat and probes show that the primary is alive, so that silence needs better proof. */
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
