/** Log lines of one change of primary, with the time since this process took it up. */
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import { type Position, formatPosition } from '../../positions/position.js';
import type { Clock } from '../../runtime/runtime.js';
import type { CandidateChoice, ChoiceInput } from './candidate.js';

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

  /** Logs the candidates, what the proofs are based on, and the choice, if one could be made. */
  logChoice(input: ChoiceInput, choice: CandidateChoice | undefined): void {
    const { acknowledged, isConfirmedByAll } = input.revocation;
    this.log(Events.primaryCandidates, {
      group: this.group,
      epoch: this.epoch,
      candidates: input.reports
        .map(({ instance, status }) => `${instance}@${formatPosition(status.received)}`)
        .join(' '),
      missing: input.missing,
      old_primary: input.oldPrimary ? formatPosition(input.oldPrimary.received) : 'silent',
      inherited: formatPosition(input.inheritedPosition),
      acknowledged: textOf(acknowledged),
      confirmed_by_all: isConfirmedByAll,
      proxy_watermark: textOf(input.proxyWatermark),
      replica_watermark: textOf(input.replicaWatermark),
      choice: choice ? `${choice.instance} by ${choice.evidence}` : 'none',
    });
  }
}

function textOf(position: Position | undefined): string {
  return position ? formatPosition(position) : 'none';
}
