/**
 * The instance to which calls to the platform bind a change of primary: while one of them may still take effect, no other
 * instance may become primary, since the bound one would replace it with fewer commits.
 */
import type { Catalog } from '../catalog/catalog.js';
import { contains } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';
import type { CandidateReport } from './candidate.js';
import type { RevocationState } from './lease_ledger.js';

/** Binding of one group. */
export class BoundTarget {
  constructor(
    private readonly catalog: Catalog,
    private readonly group: string,
  ) {}

  /** The bound instance; undefined if no call may still take effect. */
  get instance(): string | undefined {
    return this.catalog.pendingAppointment(this.group)?.instance ?? undefined;
  }

  /** Whether an instance may not become primary. */
  excludes(instance: string): boolean {
    return this.instance !== undefined && this.instance !== instance;
  }

  /** The report of an instance that may not become primary as that of one that is not eligible. */
  restrict(report: CandidateReport): CandidateReport {
    return this.excludes(report.instance) ? { ...report, isEligible: false } : report;
  }

  /**
   * The bound instance, if it is the target of the present change and holds what it was chosen with. It needs no further proof
   * where no proxy can have acknowledged anything since.
   */
  keptTarget(
    reports: readonly CandidateReport[],
    { isConfirmedByAll, unconfirmed }: RevocationState,
    now: number,
  ): CandidateReport | undefined {
    const { target, targetIncarnation, targetPosition } = this.catalog.group(this.group) ?? {};
    const isSettled = isConfirmedByAll || now > unconfirmed.trustUntil;
    const chosenWith = positionOf(targetPosition);
    const report = reports.find(({ instance }) => instance === target);
    if (!isSettled || !chosenWith || !report || target !== this.instance) return undefined;
    const { incarnation } = this.catalog.instance(report.instance) ?? {};
    const isSameIncarnation = (incarnation ?? 0) === (targetIncarnation ?? 0);
    return isSameIncarnation && contains(report.status.received, chosenWith) ? report : undefined;
  }
}
