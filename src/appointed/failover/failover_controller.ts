/**
 * DECISION: when a primary is replaced. The steps of a change: `primary_changer.ts`.
 *
 * Answers: a primary that crashed, refuses, is cut off, stands still, leaves or is in an evacuated zone, and proxies that are
 *   cut off themselves.
 * Inputs: the primary's state and incarnation in the catalog; opinions of the proxies (`primary_health_opinions.ts`), age of its
 *   newest heartbeat, what it answers to control itself (`direct_questions.ts`), milliseconds since its epoch began.
 * Rule: only with another ready instance in the group. A primary that leaves, is gone or started again is replaced at once; whether
 *   any other has failed is decided in `primary_trouble.ts`. One that is well leaves an evacuated zone by a planned change
 *   (`primary_evacuation.ts`), and is replaced as planned when homes of routes keep it from more of them than another instance
 *   (`placement/primary_homes.ts`).
 * Constants: below. Tests: test/unit/failover.test.ts.
 *
 * Owns which groups this leader is changing. Relies on a majority for each step; a step that fails is logged and begun again
 * at a later tick, here or at the next leader.
 */
import type { GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import { unusableReason } from '../catalog/usable_instance.js';
import type { Position } from '../../positions/position.js';
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import { countServableRoutes } from '../placement/servable_routes.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Timer } from '../../runtime/runtime.js';
import { PrimaryProber } from './primary_prober.js';
import { targetOf } from './instance_target.js';
import type { InstanceMonitor } from './instance_monitor.js';
import { type PrimaryChangerContext, PrimaryChanger } from './primary_changer.js';
import { PrimaryEvacuation, hasRecentHeartbeat } from './primary_evacuation.js';
import type { PrimaryHealthReports } from './primary_health_reports.js';
import { primaryFailureReason, shouldProbePrimary } from './primary_failure.js';

const { GroupPhase, InstanceRole, InstanceState } = whinyoke;

/** Time between two looks at all groups, in milliseconds. A guess, not measured. */
const CHECK_INTERVAL_MS = 50;

/**
 * A change for the sake of homes that ended outside them again, for want of a proof, is not tried anew for this long, in
 * milliseconds: each try keeps writes waiting. A guess, not measured.
 */
const ALLOWED_REGIONS_RETRY_MS = 30_000;

interface KnownEpoch {
  readonly epoch: number;
  readonly startedAt: number;
}

/** An instance that says that it is primary of a term. */
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

/** Controller of one control machine. */
export class FailoverController {
  private timer: Timer | undefined;
  private readonly changingGroups = new Set<string>();
  /** Epochs that this leader saw begin, and when. */
  private readonly knownEpochs = new Map<string, KnownEpoch>();
  private isAdopting = false;
  private readonly prober: PrimaryProber;
  private readonly evacuation: PrimaryEvacuation;

  constructor(
    private readonly context: PrimaryChangerContext,
    private readonly monitor: InstanceMonitor,
    private readonly healthReports: PrimaryHealthReports,
  ) {
    this.prober = new PrimaryProber(context);
    this.evacuation = new PrimaryEvacuation(context.catalog, monitor, context.log);
  }

  /** Starts to watch; does nothing while this machine does not lead. */
  start(): void {
    this.timer = this.context.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.checkAll();
      this.start();
    });
  }

  /** Stops. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Looks at all groups once. */
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
  }

  /** A group seen for the first time: the instance that leads it now becomes its primary. */
  private async adoptPrimary(group: string): Promise<void> {
    if (this.isAdopting) return;
    this.isAdopting = true;
    try {
      const claim = await this.strongestClaim(group);
      if (!claim) return;
      const { STEADY: phase } = GroupPhase;
      await this.context.propose({ putGroup: { group, epoch: 1, phase, ...claim } });
    } catch (error) {
      // The group has no epoch yet; the next tick tries again, on the machine that leads then.
      this.logFailure(group, 'adopt', error);
    } finally {
      this.isAdopting = false;
    }
  }

  /** The instance of the newest term, among those that call themselves primary of a group. */
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
      // Nothing has begun. The next look, here or at the next leader, finds the same cause.
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
    if (primary && !isSameIncarnation)
      return { text: 'the primary started again', isPlanned: false };
    if (primary?.state === InstanceState.READY) {
      return (
        this.causeByHealth(entry) ??
        this.causeByEvacuation(entry) ??
        this.causeByAllowedRegions(entry, primary)
      );
    }
    return { text: 'the primary leaves', isPlanned: primary?.state === InstanceState.DRAINING };
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

  /** A primary that may serve fewer routes than another instance is replaced as planned. */
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
      text: `its region keeps it from routes that another instance may serve`,
      isPlanned: true,
    };
  }

  private causeByEvacuation(entry: GroupEntry): ChangeCause | undefined {
    const now = this.context.clock.now();
    const text = this.evacuation.admitChange(entry, this.epochAgeMs(entry, now), now);
    return text === undefined ? undefined : { text, isPlanned: true };
  }

  /** An epoch that was there before this machine led began long ago, as far as it knows. */
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

  /** Entries that name an instance to use; the other ones make no group and replace nobody. */
  private get usableInstances(): readonly InstanceEntry[] {
    const { catalog, document } = this.context;
    const { table } = document;
    return catalog.presentInstances.filter(
      (instance) => unusableReason(instance, table) === undefined,
    );
  }
}
