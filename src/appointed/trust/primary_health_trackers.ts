/**
 * Health trackers of all groups of one proxy, and which health reports control receives when.
 *
 * Every request to control carries the reports on current primaries. A changed report is sent at once, so that control
 * learns of a failure before the next regular request; a first report that is healthy can wait. Nothing is sent at once
 * while a group changes its primary.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { PrimaryHealthTracker } from './primary_health_tracker.js';
import type { PrimaryLeases } from './primary_leases.js';

const { PrimaryHealth, GroupPhase } = whinyoke;

/** Tracker of the newest epoch used in a group. */
interface TrackedEpoch {
  readonly epoch: number;
  readonly tracker: PrimaryHealthTracker;
  /** Health reported last; undefined before the first report. */
  reportedHealth: whinyoke.PrimaryHealth | undefined;
  /** Whether that report was based on connection owners only. */
  isReportedThroughOwners: boolean;
}

export class PrimaryHealthTrackers {
  private readonly tracked = new Map<string, TrackedEpoch>();

  constructor(private readonly leases: PrimaryLeases) {}

  /** Tracker of an epoch, or of a later one that is already tracked. */
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

  /** Reports on the current primaries for a request that is sent to control now. */
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

  /** Whether a report has changed that control should receive at once. */
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

  /** Primaries without answers, possibly only because the connections to them are dead. */
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
