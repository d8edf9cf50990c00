/** Opinions of the proxies on the primaries of groups, and the verdict that follows from them. */
import { whinyoke } from '../../protocol/generated/messages.js';

const { PrimaryHealth } = whinyoke;

/** An opinion older than this does not count, in milliseconds. */
const OPINION_LIFETIME_MS = 1300;
/** A silent primary must have been silent for this long, in milliseconds. */
const SILENCE_MS = 400;
/** A refusal must have lasted this long, so that a restart of a proxy's connections is none. */
const REFUSAL_MS = 60;

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

/** Board of one leader. */
export class PrimaryHealthBoard {
  private readonly opinions = new Map<string, Map<string, Opinion>>();

  /** Notes the opinions of a proxy. */
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
      if (opinion.epoch !== epoch || now - opinion.at > OPINION_LIFETIME_MS) continue;
      if (opinion.health === PrimaryHealth.HEALTHY) {
        good++;
        continue;
      }
      const needed = opinion.health === PrimaryHealth.SILENT ? SILENCE_MS : REFUSAL_MS;
      if (now - opinion.since < needed) continue;
      bad++;
      trouble = PrimaryHealth[opinion.health].toLowerCase();
    }
    return { bad, good, trouble };
  }
}
