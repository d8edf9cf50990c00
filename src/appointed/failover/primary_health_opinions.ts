/**
 * DECISION: when a primary counts as failed, in the eyes of the proxies. What follows from that: `failover_controller.ts`.
 *
 * Answers: a primary that crashed, refuses or is cut off from some proxies only.
 * Inputs: the newest report of each proxy on the primary of an epoch, with its age and the time for which the trouble lasts
 *   (milliseconds).
 * Rule: reports on another epoch and old ones don't count. A report of trouble counts as bad once the trouble has lasted
 *   long enough, any healthy one as good; silence needs more time than a refusal.
 * Constants: `src/appointed/leases/primary_health_times.ts`.
 *
 * Owns the reports that this leader got; a new leader begins without any. Relies on the proxies: one that is cut off from
 * control has no opinion.
 */
import {
  COUNTED_REFUSAL_MS,
  COUNTED_SILENCE_MS,
  REPORT_LIFETIME_MS,
} from '../leases/primary_health_times.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { PrimaryHealth } = whinyoke;

interface Opinion {
  readonly at: number;
  readonly epoch: number;
  readonly health: whinyoke.PrimaryHealth;
  readonly since: number;
}

/** Verdict on one primary. */
export interface PrimaryVerdict {
  /** Proxies that can't use the primary. */
  readonly bad: number;
  /** Proxies that use it. */
  readonly good: number;
  /** Name of the prevailing trouble; undefined when there is none. */
  readonly trouble: string | undefined;
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
      });
    }
  }

  /** Forgets everything, at the begin of a leadership. */
  clear(): void {
    this.opinions.clear();
  }

  /** Verdict on the primary of an epoch. */
  verdict(group: string, epoch: number, now: number): PrimaryVerdict {
    let good = 0;
    let bad = 0;
    let trouble: string | undefined;
    for (const opinion of this.opinions.get(group)?.values() ?? []) {
      if (opinion.epoch !== epoch || now - opinion.at > REPORT_LIFETIME_MS) continue;
      if (opinion.health === PrimaryHealth.HEALTHY) {
        good++;
        continue;
      }
      const needed =
        opinion.health === PrimaryHealth.SILENT ? COUNTED_SILENCE_MS : COUNTED_REFUSAL_MS;
      if (now - opinion.since < needed) continue;
      bad++;
      trouble = PrimaryHealth[opinion.health].toLowerCase();
    }
    return { bad, good, trouble };
  }
}
