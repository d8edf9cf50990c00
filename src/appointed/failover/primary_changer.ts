/**
 * Changes the primary of one group, step by step:
 * 1. the epoch is raised and its phase is CHANGING (done by the controller);
 * 2. all leases on the old primary end; where proxies did not confirm, replicas are fenced meanwhile, for longer than such
 *    a proxy uses the old primary without control;
 * 3. the replicas stop receiving from the old primary, which steps down if it can be reached;
 * 4. the replica that provably holds every acknowledged commit is chosen and recorded in the log; while a call for one
 *    instance may still take effect, only that one is chosen;
 * 5. it is appointed, unless an earlier call did so, and reports itself that it is primary of a new term;
 * 6. the epoch is raised and its phase is STEADY.
 *
 * Every step can be repeated, and decisions are in the replicated log, so that the next leader continues where this one
 * stopped. A step fails without a majority of the control machines, or when an instance or the platform does not answer; it
 * is then retried.
 */
import type { Catalog, GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import type { InstanceStatus } from '../instance/instance_connection.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { type PrimaryPlacement, countServableRoutes } from '../placement/servable_routes.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, delay } from '../../runtime/runtime.js';
import { appointmentObjection } from './appointment_fence.js';
import type { AppointmentLease, Proposer } from './appointment_lease.js';
import { BoundTarget } from './bound_target.js';
import {
  type CandidateReport,
  type CandidateChoice,
  type ChoiceInput,
  chooseCandidate,
} from './candidate.js';
import type { CommitWatermarks } from './commit_watermarks.js';
import type { DepartureMonitor } from './departure_monitor.js';
import type { InstanceAdministrator } from './instance_administrator.js';
import { targetOf } from './instance_target.js';
import type { InstanceMonitor } from './instance_monitor.js';
import type { LeaseLedger, RevocationState } from './lease_ledger.js';
import { evacuatedZoneOf } from './primary_evacuation.js';
import { PrimaryChangeLog } from './primary_change_log.js';
import type { CaughtUpInstances } from './caught_up_instances.js';
import { type Position, START, covers } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';
import { inheritedPositionOf } from './inherited_position.js';
import { ReplicaEvidence } from './replica_evidence.js';
import { ReplicaFence } from './replica_fence.js';
import { ReplicaRelease } from './replica_release.js';

const { AppointOutcome, GroupPhase, InstanceState } = whinyoke;

/** Interval of checks of the proxies' leases. */
const REVOCATION_POLL_MS = 10;
/** Interval of status requests to the appointed instance. */
const STATUS_POLL_MS = 40;
/** Time for an appointed instance to report that it is primary. */
const APPOINTMENT_TIMEOUT_MS = 2000;
/** Interval between attempts of a change. */
const RETRY_INTERVAL_MS = 150;
/**
 * Time for proxies to confirm before the replicas are fenced while the leases of the others run out: longer than commits
 * in flight delay a confirmation (`PLANNED_COMMIT_WAIT_MS` and `FAILOVER_COMMIT_WAIT_MS` in `trust/group_lease.ts`).
 */
const PLANNED_CONFIRMATION_WAIT_MS = 400;
const FAILOVER_CONFIRMATION_WAIT_MS = 150;
/** Interval between attempts to fence replicas during that wait: a busy replica refuses. */
const FENCE_RETRY_INTERVAL_MS = 100;

/**
 * An instance in an evacuated zone, or the primary that was to be replaced, may lead only after no other instance could be
 * proven to hold everything for this long, which covers several attempts. Its replicas receive again then.
 */
const LAST_RESORT_AFTER_MS = 1500;

/** Dependencies of a change. */
export interface PrimaryChangerContext extends PrimaryPlacement {
  readonly clock: Clock;
  readonly catalog: Catalog;
  /** Leases granted in this leadership. */
  readonly ledger: LeaseLedger;
  readonly monitor: InstanceMonitor;
  /** Restarted instances that hold everything they had confirmed before. */
  readonly caughtUp: Pick<CaughtUpInstances, 'has'>;
  /** Instances that have deregistered and still serve. */
  readonly departures: Pick<DepartureMonitor, 'isServing'>;
  /** Positions that account for lost evidence. */
  readonly watermarks: Pick<CommitWatermarks, 'of'>;
  readonly administrator: InstanceAdministrator;
  readonly appointmentLease: AppointmentLease;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  readonly log: DecisionLog;
  /** Whether this process still leads in the term in which the change was begun. */
  readonly isLeading: () => boolean;
}

/** Incarnation that is to lead, and its log position when that was decided. */
interface Appointee {
  readonly instance: string;
  readonly incarnation: number;
  readonly position: Position;
  /** Its status if it leads a newer term already. */
  readonly leading?: InstanceStatus;
}

/** The instance that leads the newest term after that of the old primary. */
function newestPrimary(
  reports: readonly CandidateReport[],
  oldTerm: number,
): CandidateReport | undefined {
  const leading = reports.filter(
    ({ status }) => status.role === 'primary' && status.term > oldTerm,
  );
  leading.sort((left, right) => right.status.term - left.status.term);
  return leading[0];
}

/** Changes the primary of one group in one CHANGING epoch. */
export class PrimaryChanger {
  private readonly group: string;
  private readonly epoch: number;
  /** Term of the old primary. */
  private readonly oldTerm: number;
  private readonly replicaFence: ReplicaFence;
  private readonly evidence: ReplicaEvidence;
  private readonly boundTarget: BoundTarget;
  private readonly changeLog: PrimaryChangeLog;

  constructor(
    private readonly context: PrimaryChangerContext,
    private readonly entry: GroupEntry,
  ) {
    const { clock, administrator, log } = context;
    this.group = entry.group ?? '';
    this.epoch = entry.epoch ?? 0;
    this.oldTerm = entry.term ?? 0;
    const isNeeded = (): boolean => this.isCurrent();
    this.replicaFence = new ReplicaFence(clock, administrator, this.oldTerm, isNeeded);
    this.evidence = new ReplicaEvidence(context, entry);
    this.boundTarget = new BoundTarget(context.catalog, this.group);
    this.changeLog = new PrimaryChangeLog(clock, log, this.group, this.epoch);
  }

  /** Runs until the group has a primary again, or this process no longer leads. */
  async run(): Promise<void> {
    const revocationState = await this.awaitRevocation();
    if (!revocationState) return;
    this.changeLog.logStep('leases_ended', `confirmed by all: ${revocationState.isConfirmedByAll}`);
    while (this.isCurrent()) {
      const isDone = await this.attemptChange();
      if (isDone) return;
      await delay(this.context.clock, RETRY_INTERVAL_MS);
    }
  }

  // ---- current state ----

  private isCurrent(): boolean {
    return this.context.isLeading() && this.context.catalog.group(this.group)?.epoch === this.epoch;
  }

  private currentRevocation(): RevocationState {
    const { catalog, ledger, clock } = this.context;
    return ledger.revocationState(this.group, this.epoch, catalog.proxies, clock.now());
  }

  /** Instances of the group that may have received its commits, also those that have deregistered and not ended. */
  private get members(): readonly InstanceEntry[] {
    const { presentInstances, departingInstances } = this.context.catalog;
    return [...presentInstances, ...departingInstances].filter(
      (instance) => instance.group === this.group,
    );
  }

  private get replicas(): readonly InstanceEntry[] {
    return this.members.filter((instance) => instance.id !== this.entry.primary);
  }

  private get oldPrimary(): InstanceEntry | undefined {
    return this.members.find((instance) => instance.id === this.entry.primary);
  }

  /** Whether an instance is asked: one that has deregistered and does not answer would only delay the others. */
  private isAsked(instance: InstanceEntry): boolean {
    return instance.state !== InstanceState.GONE || this.context.departures.isServing(instance);
  }

  // ---- step 2: leases end ----

  /** Waits until no proxy uses the old primary; undefined when this process no longer leads. */
  private async awaitRevocation(): Promise<RevocationState | undefined> {
    let isFencing = false;
    while (this.isCurrent()) {
      const state = this.currentRevocation();
      if (state.isComplete) return state;
      if (!isFencing && this.changeLog.elapsedMs > this.confirmationWaitMs) {
        isFencing = true;
        void this.fenceDuringRevocation();
      }
      await delay(this.context.clock, REVOCATION_POLL_MS);
    }
    return undefined;
  }

  private get confirmationWaitMs(): number {
    return this.entry.planned ? PLANNED_CONFIRMATION_WAIT_MS : FAILOVER_CONFIRMATION_WAIT_MS;
  }

  /**
   * Fences the replicas while leases run out: a fence that began only afterwards would prolong the change by a whole lease
   * confirmed by replicas ({@link appointmentObjection}).
   */
  private async fenceDuringRevocation(): Promise<void> {
    while (this.isCurrent() && !this.currentRevocation().isComplete) {
      const unfenced = this.replicas.filter(
        (replica) => this.isAsked(replica) && this.replicaFence.fencedSince(replica) === undefined,
      );
      if (unfenced.length === 0) return;
      await this.replicaFence.fenceAll(unfenced, this.replicaFence.newTerm);
      await delay(this.context.clock, FENCE_RETRY_INTERVAL_MS);
    }
  }

  // ---- steps 3 to 6, repeated until they succeed ----

  /** One attempt of all steps after the end of the leases; resolves with whether the group has a primary again. */
  private async attemptChange(): Promise<boolean> {
    const appointee = await this.chooseAppointee();
    if (!appointee || !this.isCurrent()) return false;
    const status = appointee.leading ?? (await this.appoint(appointee));
    if (!status) return false;
    await this.beginNextEpoch(appointee, status);
    this.changeLog.logStep('primary_appointed', `${appointee.instance} term ${status.term}`);
    return true;
  }

  /** Step 5: appoints an instance; resolves with its status as primary, undefined if it does not lead. */
  private async appoint(appointee: Appointee): Promise<InstanceStatus | undefined> {
    const { appointmentLease } = this.context;
    this.changeLog.logStep('target_chosen', appointee.instance);
    const outcome = await appointmentLease.appoint(this.group, appointee.instance);
    this.changeLog.logStep('appoint_answered', AppointOutcome[outcome]);
    if (outcome !== AppointOutcome.APPOINTED) return undefined;
    return this.awaitAppointedPrimary(appointee);
  }

  /** Steps 3 and 4: fences the replicas, ends the old primary's term, and records the chosen instance in the log. */
  private async chooseAppointee(): Promise<Appointee | undefined> {
    const { replicas, oldPrimary, boundTarget } = this;
    const oldStatus = this.endOldTerm();
    const asked = replicas.filter((replica) => this.isAsked(replica));
    const reports = await this.replicaFence.fenceAll(asked, this.replicaFence.newTerm);
    const unrestarted = reports.filter((report) => this.evidence.holdsRecordedPosition(report));
    const appointed = await this.findAppointed(unrestarted, oldStatus);
    if (appointed) return { ...this.appointeeOf(appointed), leading: appointed.status };
    const now = this.context.clock.now();
    const kept = boundTarget.keptTarget(unrestarted, this.currentRevocation(), now);
    if (kept) return this.isSafeToAppoint(kept.instance) ? this.appointeeOf(kept) : undefined;
    const missing = this.evidence.countMissing(replicas, reports);
    // An unresponsive old primary delays the change only when its answer is needed.
    let old: CandidateReport | undefined;
    const candidates = reports.map((report) => this.excludeEvacuated(report));
    let choice = this.choose(candidates, missing, undefined);
    if (!choice) {
      old = await this.oldPrimaryReport(oldPrimary, oldStatus, reports);
      choice = this.chooseWithOldPrimary(reports, missing, old);
    }
    const chosen = [...reports, ...(old ? [old] : [])].find(
      ({ instance }) => instance === choice?.instance,
    );
    if (!chosen || !this.isSafeToAppoint(chosen.instance)) return undefined;
    const appointee = this.appointeeOf(chosen);
    if (!this.isTargetRecorded(appointee)) await this.recordTarget(appointee);
    return appointee;
  }

  /** Whether calls may still make the old primary lead again. */
  private get isBoundToOldPrimary(): boolean {
    const { instance } = this.boundTarget;
    return instance !== undefined && instance === this.oldPrimary?.id;
  }

  /** Lets the old primary step down, unless it may lead again by a call; resolves with its status. */
  private endOldTerm(): Promise<InstanceStatus | undefined> | undefined {
    const { oldPrimary } = this;
    const { administrator } = this.context;
    if (!oldPrimary || !this.isAsked(oldPrimary)) return undefined;
    const target = targetOf(oldPrimary);
    if (this.isBoundToOldPrimary) return administrator.status(target);
    return administrator.stepDown(target, this.replicaFence.newTerm, () => this.isCurrent());
  }

  /** The instance that an earlier call appointed in this change. */
  private async findAppointed(
    replicas: readonly CandidateReport[],
    oldStatus: Promise<InstanceStatus | undefined> | undefined,
  ): Promise<CandidateReport | undefined> {
    const { boundTarget, oldPrimary, oldTerm } = this;
    const bound = replicas.filter(({ instance }) => !boundTarget.excludes(instance));
    if (!this.isBoundToOldPrimary) return newestPrimary(bound, oldTerm);
    const status = await oldStatus;
    const old = { instance: oldPrimary?.id ?? '', isEligible: true };
    return status && newestPrimary([{ ...old, status }], oldTerm);
  }

  private appointeeOf({ instance, status }: CandidateReport): Appointee {
    return { instance, incarnation: this.incarnationOf(instance), position: status.received };
  }

  private incarnationOf(instance: string): number {
    return this.context.catalog.instance(instance)?.incarnation ?? 0;
  }

  /** Whether an instance reports its start time, so that an empty restart can be detected. */
  private reportsStartTime(instance: string): boolean {
    return Boolean(this.context.catalog.instance(instance)?.born);
  }

  /**
   * Chooses with the old primary's answer, which may prove another instance; after {@link LAST_RESORT_AFTER_MS} any ready
   * instance may lead.
   */
  private chooseWithOldPrimary(
    reports: readonly CandidateReport[],
    missing: number,
    old: CandidateReport | undefined,
  ): CandidateChoice | undefined {
    const candidates = reports.map((report) => this.excludeEvacuated(report));
    const oldCandidate = old && this.excludeEvacuated(old);
    const isPlanned = this.entry.planned ?? false;
    const oldReport =
      oldCandidate && isPlanned ? { ...oldCandidate, isEligible: false } : oldCandidate;
    const choice = this.choose(candidates, missing, oldReport);
    if (choice || this.changeLog.elapsedMs < LAST_RESORT_AFTER_MS) return choice;
    return this.choose(reports, missing, old);
  }

  private excludeEvacuated(report: CandidateReport): CandidateReport {
    const isEvacuated = evacuatedZoneOf(this.context.catalog, report.instance) !== undefined;
    return isEvacuated ? { ...report, isEligible: false } : report;
  }

  /**
   * The old primary's report; it holds everything and may lead again when no replica can, unless it has restarted
   * meanwhile.
   */
  private async oldPrimaryReport(
    old: InstanceEntry | undefined,
    oldStatus: Promise<InstanceStatus | undefined> | undefined,
    replicas: readonly CandidateReport[],
  ): Promise<CandidateReport | undefined> {
    const status = await oldStatus;
    if (!old || !status || !this.evidence.isAnswerOfOldPrimary(old, status, replicas))
      return undefined;
    const isEligible = old.state === InstanceState.READY;
    return { instance: old.id ?? '', status, isEligible };
  }

  private choose(
    replicas: readonly CandidateReport[],
    missing: number,
    oldPrimary: CandidateReport | undefined,
  ): CandidateChoice | undefined {
    const { watermarks, catalog } = this.context;
    const input: ChoiceInput = {
      reports: replicas.map((report) => this.boundTarget.restrict(report)),
      missing,
      oldPrimary: oldPrimary?.status,
      revocation: this.currentRevocation(),
      proxyWatermark: watermarks.of(this.entry, 'proxies'),
      replicaWatermark: watermarks.of(this.entry, 'replicas'),
      inheritedPosition: inheritedPositionOf(this.entry) ?? START,
      oldTerm: this.oldTerm,
      servedRoutes: (id: string) => countServableRoutes(catalog.instance(id), this.context),
    };
    // Where no replica provably holds everything, the old primary does, and may lead again.
    const choice =
      chooseCandidate(input) ??
      (oldPrimary &&
        chooseCandidate({
          ...input,
          reports: [...input.reports, this.boundTarget.restrict(oldPrimary)],
        }));
    this.changeLog.logChoice(input, choice);
    return choice;
  }

  /** Whether the chosen instance may be appointed now, beside proxies that did not confirm. */
  private isSafeToAppoint(instance: string): boolean {
    const { isConfirmedByAll, unconfirmed } = this.currentRevocation();
    // If the old primary leads again, it is the one that such a proxy uses.
    if (isConfirmedByAll || instance === this.entry.primary) return true;
    const { catalog, clock } = this.context;
    const entry = catalog.instance(instance);
    const replica = {
      placedSince: catalog.placedSince(instance),
      fencedSince: entry && this.replicaFence.fencedSince(entry),
    };
    // A proxy that uses the old primary knows at least the catalog version in which that epoch began.
    const knownVersion = Math.max(unconfirmed.knownVersion, this.entry.steadySince ?? 0);
    const objection = appointmentObjection(replica, { ...unconfirmed, knownVersion }, clock.now());
    if (objection === undefined) return true;
    this.changeLog.logStep('fence_not_passed', `${instance}: ${objection}`);
    return false;
  }

  private isTargetRecorded({ instance, incarnation }: Appointee): boolean {
    const { target, targetIncarnation } = this.context.catalog.group(this.group) ?? {};
    return target === instance && (targetIncarnation ?? 0) === incarnation;
  }

  private recordTarget({
    instance: target,
    incarnation,
    position,
  }: Appointee): Promise<whinyoke.CatalogResult> {
    const { group, epoch } = this;
    const leastPosition = this.reportsStartTime(target) ? position : undefined;
    const chosen = { target, targetIncarnation: incarnation, targetPosition: position };
    const choice = { ...chosen, leastPosition };
    return this.context.propose({ setTarget: { group, epoch, ...choice } });
  }

  /** Step 5: waits until the appointed incarnation reports that it is primary. */
  private async awaitAppointedPrimary(appointee: Appointee): Promise<InstanceStatus | undefined> {
    const { clock, administrator, catalog } = this.context;
    const { instance } = appointee;
    const startedAt = clock.now();
    while (this.isCurrent() && clock.now() - startedAt < APPOINTMENT_TIMEOUT_MS) {
      const entry = catalog.instance(instance);
      const status = entry && (await administrator.status(targetOf(entry)));
      if (status && this.hasRestarted(appointee, status)) {
        this.changeLog.logStep('appointee_started_again', instance);
        return undefined;
      }
      const isOld = instance === this.entry.primary;
      const isNewTerm = status && (isOld || status.term > this.oldTerm);
      if (status?.role === 'primary' && isNewTerm) return status;
      await delay(clock, STATUS_POLL_MS);
    }
    return undefined;
  }

  /**
   * Whether an answer comes from a later incarnation than the appointed one. The other replicas still hold what they held, so
   * another one can be chosen.
   */
  private hasRestarted(
    { instance, incarnation, position }: Appointee,
    status: InstanceStatus,
  ): boolean {
    const isShorter = this.reportsStartTime(instance) && !covers(status.received, position);
    return isShorter || this.incarnationOf(instance) !== incarnation;
  }

  /**
   * Position at or after every commit acknowledged so far: that with which the appointed instance was chosen. A former leader
   * of an earlier program did not record it.
   */
  private inheritedPosition(appointee: Appointee): Position {
    const { targetPosition } = this.context.catalog.group(this.group) ?? {};
    const recorded = this.isTargetRecorded(appointee) ? positionOf(targetPosition) : undefined;
    return recorded ?? appointee.position;
  }

  /** Step 6: begins the next epoch and lets the other replicas receive again. */
  private async beginNextEpoch(appointee: Appointee, status: InstanceStatus): Promise<void> {
    const { instance: primary, incarnation } = appointee;
    const next = {
      group: this.group,
      epoch: this.epoch + 1,
      phase: GroupPhase.STEADY,
      primary,
      term: status.term,
      primaryIncarnation: incarnation,
      leastPosition: this.reportsStartTime(primary) ? status.received : undefined,
      inheritedPosition: this.inheritedPosition(appointee),
    };
    await this.context.propose({ putGroup: next });
    const others = this.members.filter((member) => member.id !== primary && this.isAsked(member));
    const release = new ReplicaRelease(this.context, this.group, this.epoch, this.changeLog);
    for (const instance of others) void release.release(instance);
  }
}
