/** Log lines of one change of primary, with the time since this process took it up. */
import type { InstanceStatus } from '../instance/instance_connection.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import { formatPosition } from '../../positions/position.js';
import type { Clock } from '../../runtime/runtime.js';
import type { CandidateReport, CandidateChoice } from './candidate.js';
import type { RevocationState } from './lease_ledger.js';

export class PrimaryChangeLog {
  private readonly startedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly group: string,
    private readonly epoch: number,
  ) {
    this.startedAt = clock.now();
  }

  get elapsedMs(): number {
    return this.clock.now() - this.startedAt;
  }

  /** Logs a step of the change. */
  logStep(step: string, detail: string): void {
    const { group, epoch } = this;
    const elapsed = Math.round(this.elapsedMs);
    this.log(Events.primaryChangeStep, { group, epoch, step, elapsed_ms: elapsed, detail });
  }

  /** Logs the candidates and the choice, if one could be made. */
  logChoice(
    reports: readonly CandidateReport[],
    oldPrimary: InstanceStatus | undefined,
    { acknowledged, isConfirmedByAll }: RevocationState,
    choice: CandidateChoice | undefined,
  ): void {
    this.log(Events.primaryCandidates, {
      group: this.group,
      epoch: this.epoch,
      candidates: reports
        .map(({ instance, status }) => `${instance}@${formatPosition(status.received)}`)
        .join(' '),
      old_primary: oldPrimary ? formatPosition(oldPrimary.received) : 'silent',
      acknowledged: acknowledged ? formatPosition(acknowledged) : 'none',
      confirmed_by_all: isConfirmedByAll,
      choice: choice ? `${choice.instance} by ${choice.evidence}` : 'none',
    });
  }
}
