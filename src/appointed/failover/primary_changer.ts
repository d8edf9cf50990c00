/**
 * Changes the primary of one group, step by step. Each step can be repeated, and what was decided is in the
 * replicated log, so that the next leader goes on where this one stopped:
 * 1. the epoch is raised and its phase is CHANGING (done by the controller);
 * 2. all leases on the old primary have ended; where proxies did not say so, replicas are held meanwhile, for longer
 *    than such a proxy trusts the old primary without control;
 * 3. the replicas receive nothing more from the old primary, the old primary steps down if it can be reached;
 * 4. the replica that provably holds every acknowledged commit is chosen and named in the log;
 * 5. it is appointed, and says itself that it is primary of a new term;
 * 6. the epoch is raised and its phase is STEADY.
 */
import type { Catalog, GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { InstanceStatus } from '../instance/instance_connection.js';
import { objectionOf } from '../trust/replica_lease_confirmer.js';
import { type Clock, delay } from '../../runtime/runtime.js';
import { formatPosition } from '../../positions/position.js';
import type { AppointmentLease, Proposer } from './appointment_lease.js';
import { appointmentObjection } from './appointment_fence.js';
import { type CandidateReport, type Choice, chooseCandidate } from './candidate.js';
import { type InstanceAdministrator, targetOf } from './instance_administrator.js';
import type { LeaseLedger, RevocationState } from './lease_ledger.js';

const { AppointOutcome, GroupPhase, InstanceState } = whinyoke;

const REVOCATION_POLL_MS = 10;
const STATUS_POLL_MS = 40;
const APPOINTED_TIMEOUT_MS = 2000;
const RETRY_PAUSE_MS = 150;
/**
 * Time for proxies to confirm, in milliseconds, before the replicas are held beside the wait for the leases of those
 * that did not: longer than commits under way hold up a confirmation (250 ms).
 */
const CONFIRMATION_PATIENCE_MS = 400;

/** What a change needs of its process. */
export interface ChangerContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly ledger: LeaseLedger;
  readonly administrator: InstanceAdministrator;
  readonly duty: AppointmentLease;
  readonly propose: Proposer;
  readonly log: DecisionLog;
  /** Whether this process still leads in the term in which the change was begun. */
  readonly isLeading: () => boolean;
}

/** Changer of one group in one CHANGING epoch. */
export class PrimaryChanger {
  private readonly group: string;
  private readonly epoch: number;
  /** Since when each replica has told without a break that the old primary is not to be trusted. */
  private readonly objectingSince = new Map<string, number>();
  /** Newest term that an instance of the group told. */
  private newestTerm: number;

  constructor(
    private readonly context: ChangerContext,
    private readonly entry: GroupEntry,
  ) {
    this.group = entry.group ?? '';
    this.epoch = entry.epoch ?? 0;
    this.newestTerm = entry.term ?? 0;
  }

  /** Runs until the group has a primary again, or this process leads no longer. */
  async run(): Promise<void> {
    const { clock } = this.context;
    const begunAt = clock.now();
    const revocation = await this.awaitRevocation(begunAt);
    if (!revocation) return;
    this.logStep(
      'leases_ended',
      clock.now() - begunAt,
      `confirmed by all: ${revocation.isConfirmedByAll}`,
    );
    while (this.isCurrent()) {
      const isDone = await this.tryOnce(begunAt);
      if (isDone) return;
      await delay(clock, RETRY_PAUSE_MS);
    }
  }

  private isCurrent(): boolean {
    return this.context.isLeading() && this.context.catalog.group(this.group)?.epoch === this.epoch;
  }

  private async awaitRevocation(begunAt: number): Promise<RevocationState | undefined> {
    let isHolding = false;
    while (this.isCurrent()) {
      const state = this.revocation();
      if (state.isComplete) return state;
      if (!isHolding && this.context.clock.now() - begunAt > CONFIRMATION_PATIENCE_MS) {
        isHolding = true;
        void this.holdAll(this.replicas, this.newTerm);
      }
      await delay(this.context.clock, REVOCATION_POLL_MS);
    }
    return undefined;
  }

  private revocation(): RevocationState {
    const { catalog, ledger, clock } = this.context;
    return ledger.revocation(this.group, this.epoch, catalog.proxies, clock.now());
  }

  private async tryOnce(begunAt: number): Promise<boolean> {
    const { clock } = this.context;
    const instance = await this.chooseAndRecord(begunAt);
    if (!instance || !this.isCurrent()) return false;
    this.logStep('target_chosen', clock.now() - begunAt, instance);
    const outcome = await this.context.duty.appoint(this.group, instance);
    this.logStep('appoint_answered', clock.now() - begunAt, AppointOutcome[outcome]);
    if (outcome !== AppointOutcome.APPOINTED) return false;
    const status = await this.awaitPrimary(instance);
    if (!status) return false;
    await this.finish(instance, status);
    this.logStep('primary_appointed', clock.now() - begunAt, `${instance} term ${status.term}`);
    return true;
  }

  private get members(): readonly InstanceEntry[] {
    const { presentInstances } = this.context.catalog;
    return presentInstances.filter((instance) => instance.group === this.group);
  }

  private async chooseAndRecord(begunAt: number): Promise<string | undefined> {
    const { catalog, administrator, propose, clock } = this.context;
    const { newTerm: term, replicas } = this;
    const old = this.members.find((instance) => instance.id === this.entry.primary);
    const stepDown = old && administrator.stepDown(targetOf(old), term);
    const reports = await this.holdAll(replicas, term);
    const appointed = this.appointedAlready(reports);
    if (appointed !== undefined) return appointed;
    const missing = replicas.length - reports.length;
    // An old primary that is dark holds the change up only when its answer is needed.
    const choice =
      this.choose(reports, missing, undefined) ??
      this.choose(reports, missing, await this.oldPrimaryReport(old, stepDown));
    if (!choice) return undefined;
    const target = choice.instance;
    const objection = this.appointmentObjection(target);
    if (objection !== undefined) {
      this.logStep('fence_not_passed', clock.now() - begunAt, `${target}: ${objection}`);
      return undefined;
    }
    if (catalog.group(this.group)?.target !== target) {
      await propose({ setTarget: { group: this.group, epoch: this.epoch, target } });
    }
    return target;
  }

  /** The instance that a former leader appointed in this change before it could tell so. */
  private appointedAlready(reports: readonly CandidateReport[]): string | undefined {
    const oldTerm = this.entry.term ?? 0;
    const leading = reports.filter(
      ({ status }) => status.role === 'primary' && status.term > oldTerm,
    );
    leading.sort((left, right) => right.status.term - left.status.term);
    return leading[0]?.instance;
  }

  private get replicas(): readonly InstanceEntry[] {
    return this.members.filter((instance) => instance.id !== this.entry.primary);
  }

  /** Term that the new primary will lead at least. */
  private get newTerm(): number {
    return this.newestTerm + 1;
  }

  /** Why the chosen instance may not be appointed yet, beside proxies that did not confirm. */
  private appointmentObjection(instance: string): string | undefined {
    const { isConfirmedByAll, unconfirmed } = this.revocation();
    // The old primary that leads again is the one that such a proxy trusts.
    if (isConfirmedByAll || instance === this.entry.primary) return undefined;
    const { catalog, clock } = this.context;
    const replica = {
      version: catalog.instance(instance)?.version ?? Infinity,
      heldSince: this.objectingSince.get(instance),
    };
    // Who trusts the old primary knows at least the catalog in which its epoch began.
    const knownVersion = Math.max(unconfirmed.knownVersion, this.entry.steadySince ?? 0);
    return appointmentObjection(replica, { ...unconfirmed, knownVersion }, clock.now());
  }

  /** Stops all replicas from receiving; those that answer are candidates. */
  private async holdAll(
    replicas: readonly InstanceEntry[],
    term: number,
  ): Promise<readonly CandidateReport[]> {
    const statuses = await Promise.all(replicas.map((instance) => this.hold(instance, term)));
    const reports: CandidateReport[] = [];
    for (const [index, status] of statuses.entries()) {
      const instance = replicas[index]!;
      const isEligible = instance.state === InstanceState.READY;
      if (status) reports.push({ instance: instance.id ?? '', status, isEligible });
    }
    return reports;
  }

  /** The old primary holds everything; it may lead again when no replica can. */
  private async oldPrimaryReport(
    old: InstanceEntry | undefined,
    stepDown: Promise<InstanceStatus | undefined> | undefined,
  ): Promise<CandidateReport | undefined> {
    const status = await stepDown;
    if (!old || !status) return undefined;
    const isEligible = old.state === InstanceState.READY && !this.entry.planned;
    return { instance: old.id ?? '', status, isEligible };
  }

  private choose(
    replicas: readonly CandidateReport[],
    missing: number,
    oldPrimary: CandidateReport | undefined,
  ): Choice | undefined {
    const input = {
      missing,
      oldPrimary: oldPrimary?.status,
      revocation: this.revocation(),
      isHistoryWhole: this.isHistoryWhole(),
      isMembershipWhole: this.isMembershipWhole(),
      term: this.entry.term ?? 0,
    };
    const choice = chooseCandidate({ ...input, reports: [...replicas] });
    // Where no replica provably holds everything, the old primary does, and may lead again.
    const again =
      !choice && oldPrimary
        ? chooseCandidate({ ...input, reports: [...replicas, oldPrimary] })
        : undefined;
    this.logChoice(replicas, oldPrimary?.status, choice ?? again);
    return choice ?? again;
  }

  /** Stops a replica from receiving; one that does so already, or that follows a newer term, is left as it is. */
  private async hold(instance: InstanceEntry, term: number): Promise<InstanceStatus | undefined> {
    const { administrator } = this.context;
    const target = targetOf(instance);
    // A restart ends it, so one that was held before is asked whether it still is.
    const known = this.objectingSince.has(target.id)
      ? await administrator.status(target)
      : undefined;
    this.noteStatus(target.id, known);
    if (known && this.objectingSince.has(target.id)) return known;
    const status =
      (await administrator.pause(target, term)) ?? (await administrator.status(target));
    this.noteStatus(target.id, status);
    return status;
  }

  private noteStatus(instance: string, status: InstanceStatus | undefined): void {
    if (!status) return;
    this.newestTerm = Math.max(this.newestTerm, status.term);
    const isObjecting = objectionOf({ instance, status }, this.entry.term ?? 0) !== undefined;
    if (!isObjecting) this.objectingSince.delete(instance);
    else if (!this.objectingSince.has(instance)) {
      this.objectingSince.set(instance, this.context.clock.now());
    }
  }

  /** Whether no run of a proxy ended since the old primary's epoch began. */
  private isHistoryWhole(): boolean {
    return this.context.catalog.proxyLossVersion < (this.entry.steadySince ?? 0);
  }

  /** Whether no instance of the group left since the old primary's epoch began. */
  private isMembershipWhole(): boolean {
    return !this.context.catalog.hasLostInstanceSince(this.group, this.entry.steadySince ?? 0);
  }

  private async awaitPrimary(instance: string): Promise<InstanceStatus | undefined> {
    const { clock, administrator } = this.context;
    const begunAt = clock.now();
    while (this.isCurrent() && clock.now() - begunAt < APPOINTED_TIMEOUT_MS) {
      const entry = this.context.catalog.instance(instance);
      const status = entry && (await administrator.status(targetOf(entry)));
      const isOld = instance === this.entry.primary;
      const isNewTerm = status && (isOld || status.term > (this.entry.term ?? 0));
      if (status?.role === 'primary' && isNewTerm) return status;
      await delay(clock, STATUS_POLL_MS);
    }
    return undefined;
  }

  private async finish(primary: string, status: InstanceStatus): Promise<void> {
    const next = {
      group: this.group,
      epoch: this.epoch + 1,
      phase: GroupPhase.STEADY,
      primary,
      term: status.term,
    };
    await this.context.propose({ putGroup: next });
    for (const instance of this.members) {
      if (instance.id !== primary) void this.context.administrator.resume(targetOf(instance));
    }
  }

  private logStep(step: string, elapsedMs: number, detail: string): void {
    this.context.log(Events.primaryChangeStep, {
      group: this.group,
      epoch: this.epoch,
      step,
      elapsed_ms: Math.round(elapsedMs),
      detail,
    });
  }

  private logChoice(
    reports: readonly CandidateReport[],
    oldPrimary: InstanceStatus | undefined,
    choice: Choice | undefined,
  ): void {
    const { acknowledged, isConfirmedByAll } = this.revocation();
    this.context.log(Events.primaryCandidates, {
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
