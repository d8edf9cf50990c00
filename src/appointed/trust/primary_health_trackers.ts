/**
 * DECISION: which opinions on the primaries of all groups control receives, and when. Owns the trackers and what was
 * reported last; relies on nothing that may fail.
 *
 * Answers: a primary fails, and control should hear of it before the next usual request.
 * Inputs: opinions of the trackers, the newest known epoch and phase of each group.
 * Rule: every request carries the opinions on present primaries. A changed opinion is sent at once, but for the first one if
 * it is a good one. While a group changes its primary nothing is sent at once.
 * No constants.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { PrimaryHealthTracker } from './primary_health_tracker.js';
import type { PrimaryLeases } from './primary_leases.js';

const { PrimaryHealth, GroupPhase } = whinyoke;

/** Tracker of the newest epoch of a group that was used. */
interface TrackedEpoch {
  readonly epoch: number;
  readonly tracker: PrimaryHealthTracker;
  /** Health that control received last; undefined before the first report. */
  reportedHealth: whinyoke.PrimaryHealth | undefined;
  /** Whether that report rested on connection owners only. */
  isReportedThroughOwners: boolean;
}

/** Trackers of one proxy. */
export class PrimaryHealthTrackers {
  private readonly tracked = new Map<string, TrackedEpoch>();

  constructor(private readonly leases: PrimaryLeases) {}

  /** Tracker of an epoch; of a later one, if there is one. */
  of(group: string, epoch: number): PrimaryHealthTracker {
    const known = this.tracked.get(group);
    if (known && known.epoch >= epoch) return known.tracker;
    const tracker = new PrimaryHealthTracker();
    this.tracked.set(group, {
      epoch,
      tracker,
      reportedHealth: undefined,
      isReportedThroughOwners: false,
    });
    return tracker;
  }

  /** Opinions on the present primaries, for a request to control that is sent now. */
  takeReports(now: number): whinyoke.IPrimaryReport[] {
    const reports: whinyoke.IPrimaryReport[] = [];
    for (const [group, tracked] of this.tracked) {
      const { epoch, tracker } = tracked;
      const entry = this.leases.entryOf(group);
      const report = entry?.epoch === epoch ? tracker.healthReport(now) : undefined;
      if (!report) continue;
      const { health, isCommitsOnly: commitsOnly, isThroughOwners: throughOwners } = report;
      tracked.reportedHealth = health;
      tracked.isReportedThroughOwners = throughOwners;
      const sinceMs = Math.round(report.sinceMs);
      reports.push({ group, epoch, health, sinceMs, commitsOnly, throughOwners });
    }
    return reports;
  }

  /** Whether an opinion has changed that control should hear of at once. */
  hasUpdates(now: number): boolean {
    for (const [group, tracked] of this.tracked) {
      const { epoch, tracker, reportedHealth } = tracked;
      const entry = this.leases.entryOf(group);
      if (entry?.epoch !== epoch || entry.phase === GroupPhase.CHANGING) continue;
      const report = tracker.healthReport(now);
      if (report === undefined) continue;
      const isSameSource = report.isThroughOwners === tracked.isReportedThroughOwners;
      if (report.health === reportedHealth && isSameSource) continue;
      if (report.health !== PrimaryHealth.HEALTHY || reportedHealth !== undefined) return true;
    }
    return false;
  }

  /** Primaries that answer nothing, maybe only because connections to them fell silent. */
  suspects(now: number): readonly string[] {
    const suspects: string[] = [];
    for (const [group, { epoch, tracker }] of this.tracked) {
      const entry = this.leases.entryOf(group);
      const isCurrent = entry?.epoch === epoch && entry.phase !== GroupPhase.CHANGING;
      if (isCurrent && tracker.isSuspect(now)) suspects.push(entry.primary ?? '');
    }
    return suspects;
  }
}
