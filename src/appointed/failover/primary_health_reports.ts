/**
 * Health reports of proxies on primaries, and their summary. `primary_failure.ts` decides what follows from it.
 *
 * Reports on other epochs and expired ones are ignored. A report of a failure counts as unhealthy once the failure has
 * lasted long enough, silence longer than a refusal; a healthy report counts at once. Reports that no connection owner
 * answered say nothing about the primary itself and are counted separately. The state is in this leader's memory.
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

/** Summary of the proxies' reports on one primary. */
export interface PrimaryHealthSummary {
  /** Number of proxies that can't use the primary. */
  readonly unhealthy: number;
  /** Number of proxies that find it silent, also for too short a time to count as unhealthy. */
  readonly silent: number;
  /** Number of the unhealthy reports in which it answers reads but not commits. */
  readonly commitsOnly: number;
  /** Number of proxies that use it. */
  readonly healthy: number;
  /** Failure in the last of the unhealthy reports; undefined when there is none. */
  readonly prevailingFailure: string | undefined;
  /** Duration of the longest reported failure. */
  readonly longestFailureMs: number;
  /** Number of proxies that no connection owner of the primary answered. */
  readonly withoutOwner: number;
}

/** Reports received by one leader. */
export class PrimaryHealthReports {
  private readonly reportsByGroup = new Map<string, Map<string, ReceivedHealthReport>>();

  /** Records the newest reports of a proxy. */
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

  /** Clears all reports at the start of a leadership. */
  clear(): void {
    this.reportsByGroup.clear();
  }

  /** Summary of the reports on the primary of an epoch. */
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
