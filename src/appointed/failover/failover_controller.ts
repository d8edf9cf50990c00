/**
 * Decides when the primary of a group is replaced. The steps of a change are in `primary_changer.ts`.
 *
 * A primary is replaced only when the group has another ready instance:
 * - at once, when it leaves, is gone or has restarted;
 * - when it has failed (`primary_failure.ts`), as judged by health reports of proxies, its heartbeats and probes of control;
 * - as planned, when it is healthy in an evacuated zone (`primary_evacuation.ts`);
 * - as planned, when another instance may serve more of the group's region-bound routes (`placement/servable_routes.ts`).
 *
 * Each step needs a majority of the control machines. A step that fails is logged and retried at a later check, by this
 * leader or the next one.
 */
import type { GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import { unusableReason } from '../catalog/usable_instance.js';
import { type Position, START } from '../../positions/position.js';
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import { countServableRoutes } from '../placement/servable_routes.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Timer } from '../../runtime/runtime.js';
import { PrimaryProber } from './primary_prober.js';
import { targetOf } from './instance_target.js';
import type { InstanceMonitor } from './instance_monitor.js';
import { PendingAppointments } from './pending_appointments.js';
import { type PrimaryChangerContext, PrimaryChanger } from './primary_changer.js';
import { PrimaryEvacuation, hasRecentHeartbeat } from './primary_evacuation.js';
import type { PrimaryHealthReports } from './primary_health_reports.js';
import { primaryFailureReason, shouldProbePrimary } from './primary_failure.js';

const { GroupPhase, InstanceRole, InstanceState } = whinyoke;

/** Interval of checks of all groups. */
const CHECK_INTERVAL_MS = 50;

/**
 * After a change for allowed regions that ended outside them again, for want of a proof, the next one waits this long: each
 * attempt delays writes.
 */
const ALLOWED_REGIONS_RETRY_MS = 30_000;

interface KnownEpoch {
  readonly epoch: number;
  readonly startedAt: number;
}

/** An instance that reports itself as primary of a term. */
interface PrimaryClaim {
  readonly primary: string;
  readonly term: number;
  readonly primaryIncarnation: number;
  readonly leastPosition: Position | undefined;
}

/** Why a primary is to be replaced. */
interface ChangeCause {
  readonly text: string;
  readonly isPlanned: boolean;
}

/** Failover controller of one control machine. */
export class FailoverController {
  private timer: Timer | undefined;
  private readonly changingGroups = new Set<string>();
  /** Newest epoch of each group, and when it began as far as this leader knows. */
  private readonly knownEpochs = new Map<string, KnownEpoch>();
  private isAdopting = false;
  private readonly prober: PrimaryProber;
  private readonly evacuation: PrimaryEvacuation;
  private readonly pendingAppointments: PendingAppointments;

  constructor(
    private readonly context: PrimaryChangerContext,
    private readonly monitor: InstanceMonitor,
    private readonly healthReports: PrimaryHealthReports,
  ) {
    this.prober = new PrimaryProber(context);
    this.evacuation = new PrimaryEvacuation(context.catalog, monitor, context.log);
    this.pendingAppointments = new PendingAppointments(context);
  }

  /** Forgets what it knows of an earlier leadership. */
  beginLeadership(): void {
    this.pendingAppointments.beginLeadership();
  }

  /** Starts the periodic check, which does nothing while this machine does not lead. */
  start(): void {
    this.timer = this.context.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.checkAll();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Checks all groups once. */
  checkAll(): void {
    if (!this.context.isLeading()) return;
    const { catalog } = this.context;
    const names = new Set(this.usableInstances.map((instance) => instance.group ?? ''));
    for (const name of names) {
      const entry = catalog.group(name);
      if (!entry) void this.adoptPrimary(name);
      else if (entry.phase === GroupPhase.CHANGING) this.continueChange(entry);
      else this.checkPrimary(entry);
    }
    this.evacuation.reportProgress();
    this.pendingAppointments.endOverdue();
  }

  /** Creates the first epoch of a new group, with the instance that currently leads it as primary. */
  private async adoptPrimary(group: string): Promise<void> {
    if (this.isAdopting) return;
    this.isAdopting = true;
    try {
      const claim = await this.strongestClaim(group);
      if (!claim) return;
      const { STEADY: phase } = GroupPhase;
      // Before its first epoch nothing was acknowledged.
      const first = { group, epoch: 1, phase, inheritedPosition: START };
      await this.context.propose({ putGroup: { ...first, ...claim } });
    } catch (error) {
      // The group has no epoch yet; the next check tries again, on the machine that leads then.
      this.logFailure(group, 'adopt', error);
    } finally {
      this.isAdopting = false;
    }
  }

  /** The claim of the newest term among the instances that report themselves as primary of a group. */
  private async strongestClaim(group: string): Promise<PrimaryClaim | undefined> {
    const { administrator } = this.context;
    const claimants = this.usableInstances.filter(
      ({ id, group: instanceGroup }) =>
        instanceGroup === group && this.monitor.roleOf(id ?? '') === InstanceRole.PRIMARY,
    );
    const statuses = await Promise.all(
      claimants.map((instance) => administrator.status(targetOf(instance))),
    );
    let strongest: PrimaryClaim | undefined;
    for (const [index, status] of statuses.entries()) {
      if (status?.role !== 'primary' || status.term <= (strongest?.term ?? -1)) continue;
      const { id, incarnation, born } = claimants[index]!;
      const { term, received } = status;
      const leastPosition = born ? received : undefined;
      const primaryIncarnation = incarnation ?? 0;
      strongest = { primary: id ?? '', term, primaryIncarnation, leastPosition };
    }
    return strongest;
  }

  private continueChange(entry: GroupEntry): void {
    const group = entry.group ?? '';
    if (this.changingGroups.has(group)) return;
    this.changingGroups.add(group);
    new PrimaryChanger(this.context, entry)
      .run()
      .catch((error: unknown) => this.logFailure(group, 'change', error))
      .finally(() => this.changingGroups.delete(group));
  }

  private checkPrimary(entry: GroupEntry): void {
    this.recordEpoch(entry);
    if (this.changingGroups.has(entry.group ?? '')) return;
    const cause = this.causeOfChange(entry);
    if (cause) void this.beginChange(entry, cause.text, cause.isPlanned);
  }

  private async beginChange(entry: GroupEntry, cause: string, isPlanned: boolean): Promise<void> {
    const group = entry.group ?? '';
    this.changingGroups.add(group);
    this.context.log(Events.primaryChangeBegun, {
      group,
      epoch: entry.epoch ?? 0,
      primary: entry.primary ?? '',
      cause,
      planned: isPlanned,
    });
    try {
      const next = { ...entry, epoch: (entry.epoch ?? 0) + 1, phase: GroupPhase.CHANGING };
      await this.context.propose({ putGroup: { ...next, planned: isPlanned, target: '' } });
    } catch (error) {
      // Nothing has begun: the next check, by this leader or the next one, finds the same cause.
      this.logFailure(group, 'begin', error);
    } finally {
      this.changingGroups.delete(group);
    }
    this.checkAll();
  }

  private logFailure(group: string, step: string, error: unknown): void {
    this.context.log(Events.primaryChangeFailed, { group, step, reason: messageOf(error) });
  }

  private causeOfChange(entry: GroupEntry): ChangeCause | undefined {
    if (!this.hasReplacement(entry)) return undefined;
    const primary = this.context.catalog.instance(entry.primary ?? '');
    const isSameIncarnation = (primary?.incarnation ?? 0) === (entry.primaryIncarnation ?? 0);
    if (primary && !isSameIncarnation) return { text: 'the primary restarted', isPlanned: false };
    if (primary?.state === InstanceState.READY) {
      return this.causeByHealth(entry) ?? this.causeByPlacement(entry, primary);
    }
    const isPlanned = primary?.state === InstanceState.DRAINING;
    return isPlanned && this.isBound(entry) ? undefined : { text: 'the primary leaves', isPlanned };
  }

  /** Whether a call binds a group to its instance: a healthy primary stays, since no other one could be appointed. */
  private isBound({ group }: GroupEntry): boolean {
    return this.context.catalog.pendingAppointment(group ?? '') !== undefined;
  }

  private causeByPlacement(entry: GroupEntry, primary: InstanceEntry): ChangeCause | undefined {
    if (this.isBound(entry)) return undefined;
    return this.causeByEvacuation(entry) ?? this.causeByAllowedRegions(entry, primary);
  }

  private causeByHealth(entry: GroupEntry): ChangeCause | undefined {
    const now = this.context.clock.now();
    const healthSummary = this.healthReports.summary(entry.group ?? '', entry.epoch ?? 0, now);
    if (shouldProbePrimary(healthSummary)) this.prober.probe(entry);
    else this.prober.forget(entry);
    const text = primaryFailureReason({
      healthSummary,
      heartbeatAgeMs: this.monitor.heartbeatAgeMs(entry.primary ?? '', now),
      epochAgeMs: this.epochAgeMs(entry, now),
      probeEvidence: this.prober.evidenceOn(entry),
    });
    return text === undefined ? undefined : { text, isPlanned: false };
  }

  /** Planned change away from a primary that may serve fewer routes than another instance. */
  private causeByAllowedRegions(
    entry: GroupEntry,
    primary: InstanceEntry,
  ): ChangeCause | undefined {
    const { catalog, clock } = this.context;
    const now = clock.now();
    if (this.epochAgeMs(entry, now) < ALLOWED_REGIONS_RETRY_MS) return undefined;
    const primaryRoutes = countServableRoutes(primary, this.context);
    const isBetter = (other: InstanceEntry): boolean =>
      countServableRoutes(other, this.context) > primaryRoutes &&
      !catalog.isEvacuated(other.zone ?? '') &&
      hasRecentHeartbeat(this.monitor, other.id ?? '', now);
    if (!this.replacementsFor(entry).some(isBetter)) return undefined;
    return {
      text: 'another instance may serve more routes by their allowed regions',
      isPlanned: true,
    };
  }

  private causeByEvacuation(entry: GroupEntry): ChangeCause | undefined {
    const now = this.context.clock.now();
    const text = this.evacuation.admitChange(entry, this.epochAgeMs(entry, now), now);
    return text === undefined ? undefined : { text, isPlanned: true };
  }

  /** An epoch that existed before this machine led is taken to have begun long ago. */
  private recordEpoch(entry: GroupEntry): void {
    const group = entry.group ?? '';
    const known = this.knownEpochs.get(group);
    if (known?.epoch === entry.epoch) return;
    const startedAt = known ? this.context.clock.now() : -Infinity;
    this.knownEpochs.set(group, { epoch: entry.epoch ?? 0, startedAt });
  }

  private epochAgeMs(entry: GroupEntry, now: number): number {
    return now - (this.knownEpochs.get(entry.group ?? '')?.startedAt ?? -Infinity);
  }

  private hasReplacement(entry: GroupEntry): boolean {
    return this.replacementsFor(entry).length > 0;
  }

  private replacementsFor(entry: GroupEntry): readonly InstanceEntry[] {
    const { catalog, document } = this.context;
    return catalog.presentInstances.filter(
      (instance) =>
        instance.group === entry.group &&
        instance.id !== entry.primary &&
        instance.state === InstanceState.READY &&
        unusableReason(instance, document.table) === undefined,
    );
  }

  /** Instances that may be used; other entries neither form a group nor replace a primary. */
  private get usableInstances(): readonly InstanceEntry[] {
    const { catalog, document } = this.context;
    const { table } = document;
    return catalog.presentInstances.filter(
      (instance) => unusableReason(instance, table) === undefined,
    );
  }
}
