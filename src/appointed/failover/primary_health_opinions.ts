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
  GOOD_REPORT_LIFETIME_MS,
  REPORT_LIFETIME_MS,
} from '../leases/primary_health_times.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { PrimaryHealth } = whinyoke;

interface Opinion {
  readonly at: number;
  readonly epoch: number;
  readonly health: whinyoke.PrimaryHealth;
  readonly since: number;
  readonly isCommitsOnly: boolean;
  readonly isThroughOwners: boolean;
}

/** Verdict on one primary. */
export interface PrimaryVerdict {
  /** Proxies that can't use the primary. */
  readonly bad: number;
  /** Proxies that find it silent, also for too short a time to count as bad. */
  readonly silent: number;
  /** Those of the bad whose reads it answers, and whose commits it does not. */
  readonly commitsOnly: number;
  /** Proxies that use it. */
  readonly good: number;
  /** Name of the prevailing trouble; undefined when there is none. */
  readonly trouble: string | undefined;
  /** For how long the longest trouble has lasted, in milliseconds. */
  readonly lastsMs: number;
  /** Proxies that no connection owner of the primary answered. */
  readonly withoutOwner: number;
}

/** Opinions that one leader received. */
export class PrimaryHealthOpinions {
  private readonly opinions = new Map<string, Map<string, Opinion>>();

  /** Takes the newest opinions of a proxy. */
  note(proxy: string, reports: readonly whinyoke.IPrimaryReport[], now: number): void {
    for (const report of reports) {
      const group = report.group ?? '';
      const ofGroup = this.opinions.get(group) ?? new Map<string, Opinion>();
      this.opinions.set(group, ofGroup);
      ofGroup.set(proxy, {
        at: now,
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
    this.opinions.clear();
  }

  /** Verdict on the primary of an epoch. */
  verdict(group: string, epoch: number, now: number): PrimaryVerdict {
    const present = [...(this.opinions.get(group)?.values() ?? [])].filter(
      (opinion) => opinion.epoch === epoch && isYoung(opinion, now),
    );
    const withoutOwner = present.filter(({ isThroughOwners }) => isThroughOwners);
    const own = present.filter(({ isThroughOwners }) => !isThroughOwners);
    const good = own.filter(({ health }) => health === PrimaryHealth.HEALTHY);
    const bad = own.filter((opinion) => isBad(opinion, now));
    const prevailing = bad.at(-1);
    return {
      bad: bad.length,
      silent: own.filter(({ health }) => health === PrimaryHealth.SILENT).length,
      commitsOnly: bad.filter(({ isCommitsOnly }) => isCommitsOnly).length,
      good: good.length,
      trouble: prevailing && PrimaryHealth[prevailing.health].toLowerCase(),
      lastsMs: Math.max(0, ...bad.map(({ since }) => now - since)),
      withoutOwner: withoutOwner.length,
    };
  }
}

function isYoung({ health, at }: Opinion, now: number): boolean {
  const lifetimeMs =
    health === PrimaryHealth.HEALTHY ? GOOD_REPORT_LIFETIME_MS : REPORT_LIFETIME_MS;
  return now - at <= lifetimeMs;
}

function isBad({ health, since }: Opinion, now: number): boolean {
  if (health === PrimaryHealth.HEALTHY) return false;
  const neededMs = health === PrimaryHealth.SILENT ? COUNTED_SILENCE_MS : COUNTED_REFUSAL_MS;
  return now - since >= neededMs;
}
