/**
 * DECISION: when a primary counts as failed, in the eyes of the proxies. What follows from that: `primary_trouble.ts`.
 *
 * Answers: a primary that crashed, refuses or is cut off from some proxies only.
 * Inputs: the newest report of each proxy on the primary of an epoch, with its age and the time for which the trouble lasts
 *   (milliseconds).
 * Rule: reports on another epoch and old ones don't count. A report of trouble counts as bad once the trouble has lasted
 *   long enough, any healthy one as good; silence needs more time than a refusal. Reports that no connection owner answered
 *   say nothing of the primary itself, and are counted apart.
 * Constants: `src/appointed/leases/primary_health_times.ts`.
 *
 * Owns the reports that this leader got; a new leader begins without any. Relies on the proxies: one that is cut off from
 * control has no opinion.
 */
import {
  COUNTED_REFUSAL_MS,
  COUNTED_SILENCE_MS,
  HEALTHY_REPORT_LIFETIME_MS,
  UNHEALTHY_REPORT_LIFETIME_MS,
} from '../leases/primary_health_times.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { PrimaryHealth } = whinyoke;

interface ReceivedHealthReport {
  readonly receivedAt: number;
  readonly epoch: number;
  readonly health: whinyoke.PrimaryHealth;
  readonly since: number;
  readonly isCommitsOnly: boolean;
  readonly isThroughOwners: boolean;
}

/** Verdict on one primary. */
export interface PrimaryHealthSummary {
  /** Proxies that can't use the primary. */
  readonly unhealthy: number;
  /** Proxies that find it silent, also for too short a time to count as bad. */
  readonly silent: number;
  /** Those of the bad whose reads it answers, and whose commits it does not. */
  readonly commitsOnly: number;
  /** Proxies that use it. */
  readonly healthy: number;
  /** Name of the prevailing trouble; undefined when there is none. */
  readonly prevailingFailure: string | undefined;
  /** For how long the longest trouble has lasted, in milliseconds. */
  readonly longestFailureMs: number;
  /** Proxies that no connection owner of the primary answered. */
  readonly withoutOwner: number;
}

/** Opinions that one leader received. */
export class PrimaryHealthReports {
  private readonly reportsByGroup = new Map<string, Map<string, ReceivedHealthReport>>();

  /** Takes the newest opinions of a proxy. */
  record(proxy: string, reports: readonly whinyoke.IPrimaryReport[], now: number): void {
    for (const report of reports) {
      const group = report.group ?? '';
      const ofGroup = this.reportsByGroup.get(group) ?? new Map<string, ReceivedHealthReport>();
      this.reportsByGroup.set(group, ofGroup);
      ofGroup.set(proxy, {
        receivedAt: now,
        epoch: report.epoch ?? 0,
        health: report.health ?? PrimaryHealth.HEALTHY,
        since: now - (report.sinceMs ?? 0),
        isCommitsOnly: report.commitsOnly ?? false,
        isThroughOwners: report.throughOwners ?? false,
      });
    }
  }

  /** Forgets everything, at the begin of a leadership. */
  clear(): void {
    this.reportsByGroup.clear();
  }

  /** Verdict on the primary of an epoch. */
  summary(group: string, epoch: number, now: number): PrimaryHealthSummary {
    const current = [...(this.reportsByGroup.get(group)?.values() ?? [])].filter(
      (report) => report.epoch === epoch && isFresh(report, now),
    );
    const withoutOwner = current.filter(({ isThroughOwners }) => isThroughOwners);
    const direct = current.filter(({ isThroughOwners }) => !isThroughOwners);
    const healthy = direct.filter(({ health }) => health === PrimaryHealth.HEALTHY);
    const unhealthy = direct.filter((report) => isUnhealthy(report, now));
    const prevailing = unhealthy.at(-1);
    return {
      unhealthy: unhealthy.length,
      silent: direct.filter(({ health }) => health === PrimaryHealth.SILENT).length,
      commitsOnly: unhealthy.filter(({ isCommitsOnly }) => isCommitsOnly).length,
      healthy: healthy.length,
      prevailingFailure: prevailing && PrimaryHealth[prevailing.health].toLowerCase(),
      longestFailureMs: Math.max(0, ...unhealthy.map(({ since }) => now - since)),
      withoutOwner: withoutOwner.length,
    };
  }
}

function isFresh({ health, receivedAt }: ReceivedHealthReport, now: number): boolean {
  const lifetimeMs =
    health === PrimaryHealth.HEALTHY ? HEALTHY_REPORT_LIFETIME_MS : UNHEALTHY_REPORT_LIFETIME_MS;
  return now - receivedAt <= lifetimeMs;
}

function isUnhealthy({ health, since }: ReceivedHealthReport, now: number): boolean {
  if (health === PrimaryHealth.HEALTHY) return false;
  const neededMs = health === PrimaryHealth.SILENT ? COUNTED_SILENCE_MS : COUNTED_REFUSAL_MS;
  return now - since >= neededMs;
}
