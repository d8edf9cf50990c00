/** What a proxy sees of the primaries of all groups, and what of it control is to hear. */
import { whinyoke } from '../../protocol/generated/messages.js';
import { PrimaryObserver } from './primary_observer.js';
import type { PrimaryTrust } from './primary_trust.js';

const { PrimaryHealth, GroupPhase } = whinyoke;

interface ObservedEpoch {
  readonly epoch: number;
  readonly observer: PrimaryObserver;
  reportedHealth: whinyoke.PrimaryHealth | undefined;
}

/** Observers of one proxy. */
export class PrimaryObservers {
  private readonly observed = new Map<string, ObservedEpoch>();

  constructor(private readonly trust: PrimaryTrust) {}

  /** Observer of an epoch; of a later one, if there is one. */
  of(group: string, epoch: number): PrimaryObserver {
    const known = this.observed.get(group);
    if (known && known.epoch >= epoch) return known.observer;
    const observer = new PrimaryObserver();
    this.observed.set(group, { epoch, observer, reportedHealth: undefined });
    return observer;
  }

  /** Opinions on the present primaries, which are told to control now. */
  takeReports(now: number): whinyoke.IPrimaryReport[] {
    const reports: whinyoke.IPrimaryReport[] = [];
    for (const [group, observed] of this.observed) {
      const { epoch, observer } = observed;
      const entry = this.trust.entryOf(group);
      const opinion = entry?.epoch === epoch ? observer.opinion(now) : undefined;
      if (!opinion) continue;
      observed.reportedHealth = opinion.health;
      reports.push({ group, epoch, health: opinion.health, sinceMs: Math.round(opinion.sinceMs) });
    }
    return reports;
  }

  /** Whether an opinion has changed that control should hear of at once. */
  hasNews(now: number): boolean {
    for (const [group, { epoch, observer, reportedHealth }] of this.observed) {
      const entry = this.trust.entryOf(group);
      if (entry?.epoch !== epoch || entry.phase === GroupPhase.CHANGING) continue;
      const health = observer.opinion(now)?.health;
      if (health === undefined || health === reportedHealth) continue;
      if (health !== PrimaryHealth.HEALTHY || reportedHealth !== undefined) return true;
    }
    return false;
  }

  /** Primaries that answer nothing, maybe only since connections to them fell silent. */
  suspects(now: number): readonly string[] {
    const suspects: string[] = [];
    for (const [group, { epoch, observer }] of this.observed) {
      const entry = this.trust.entryOf(group);
      const isPresent = entry?.epoch === epoch && entry.phase !== GroupPhase.CHANGING;
      if (isPresent && observer.isSuspect(now)) suspects.push(entry.primary ?? '');
    }
    return suspects;
  }
}
