/**
 * Evidence that a commit survives.
 *
 * A primary that was cut off goes on committing. So a commit counts only once a majority of the group's
 * instances, asked after the commit, are still at its term and hold its position. Terms only rise and
 * an election needs a majority whose newest logs win, so at the moment of the earliest of those answers
 * the primary had not been replaced, and every later primary holds the commit. That moment is the
 * linearization point of the acknowledgement. See docs/design/commit-evidence.md.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import { majorityOf } from '../topology/group_description.js';
import type { InstanceProber } from '../topology/instance_prober.js';
import type { InstanceReport } from '../topology/instance_report.js';
import { type Position, covers } from '../../positions/position.js';

/** Limits of a search for evidence, in milliseconds. */
export interface EvidenceOptions {
  /** How long to look for evidence. */
  readonly timeoutMs: number;
  /** Pause before an instance that lags is asked again. */
  readonly retryMs: number;
  /** Evidence older than this is thrown away: this process may have been frozen in between. */
  readonly maximumAgeMs: number;
}

/** Defaults for networks with round trips of a few milliseconds. */
export const DEFAULT_EVIDENCE_OPTIONS: EvidenceOptions = {
  timeoutMs: 2000,
  retryMs: 2,
  maximumAgeMs: 500,
};

/** Outcome of a search for evidence. */
export type EvidenceOutcome = 'confirmed' | 'replaced' | 'timeout';

/** What a majority must support. */
export interface EvidenceTarget {
  /** Term at which the instances must still be. */
  readonly term: number;
  /** Position that they must hold durably. */
  readonly position: Position;
}

function supports(report: InstanceReport, target: EvidenceTarget): boolean {
  return report.isOnline && report.term === target.term && covers(report.received, target.position);
}

class EvidenceSearch {
  private readonly supporting = new Map<string, InstanceReport>();
  private readonly replacedAt = new Set<string>();
  private finished = false;
  private resolve!: (outcome: EvidenceOutcome) => void;

  constructor(
    private readonly probers: readonly InstanceProber[],
    private readonly target: EvidenceTarget,
    private readonly clock: Clock,
    private readonly options: EvidenceOptions,
  ) {}

  run(): Promise<EvidenceOutcome> {
    return new Promise((resolve) => {
      const timeout = this.clock.setTimer(this.options.timeoutMs, () => this.finish('timeout'));
      this.resolve = (outcome) => {
        timeout.cancel();
        resolve(outcome);
      };
      for (const prober of this.probers) void this.ask(prober);
    });
  }

  private async ask(prober: InstanceProber): Promise<void> {
    while (!this.finished) {
      try {
        const report = await prober.probeAfterNow();
        this.consider(prober.address, report);
      } catch {
        // An instance that does not answer proves nothing; it is asked again.
      }
      await delay(this.clock, this.options.retryMs);
    }
  }

  /**
   * Takes a report into account. Each instance is asked until the search is over: one that supports the
   * commit now may be at a higher term a moment later, and old reports are replaced by fresh ones.
   */
  private consider(address: string, report: InstanceReport): void {
    const majority = majorityOf(this.probers.length);
    if (report.term > this.target.term) {
      this.supporting.delete(address);
      this.replacedAt.add(address);
      if (this.replacedAt.size >= majority) this.finish('replaced');
      return;
    }
    if (!supports(report, this.target)) return;
    this.supporting.set(address, report);
    if (this.fresh().length >= majority) this.finish('confirmed');
  }

  /** Supporting reports that are not too old to count. */
  private fresh(): readonly InstanceReport[] {
    const oldest = this.clock.now() - this.options.maximumAgeMs;
    return [...this.supporting.values()].filter((report) => report.sentAt >= oldest);
  }

  private finish(outcome: EvidenceOutcome): void {
    if (this.finished) return;
    this.finished = true;
    this.resolve(outcome);
  }
}

/** Looks for evidence that a position survives. Searches that overlap share probes. */
export function findCommitEvidence(
  probers: readonly InstanceProber[],
  target: EvidenceTarget,
  clock: Clock,
  options: EvidenceOptions,
): Promise<EvidenceOutcome> {
  return new EvidenceSearch(probers, target, clock, options).run();
}
