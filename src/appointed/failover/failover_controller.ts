/**
 * DECISION: when a primary is replaced. The steps of a change: `primary_changer.ts`.
 *
 * Answers: a primary that crashed, refuses, is cut off, stands still, leaves or is in an evacuated zone, and proxies that are
 *   cut off themselves.
 * Inputs: opinions of the proxies (`primary_health_opinions.ts`), age of the primary's newest heartbeat, its state in the
 *   catalog, milliseconds since its epoch began.
 * Rule: only with another ready instance in the group. A primary that leaves or is gone is replaced at once. Otherwise more
 *   proxies must find it bad than use it, and two of them, or one and a late heartbeat; silence right after a change counts
 *   only later. With no good opinion, a heartbeat that is missing for long is enough. One that is well leaves an evacuated zone
 *   by a planned change (`primary_evacuation.ts`).
 * Constants: below, and `src/appointed/leases/primary_health_times.ts`. Tests: test/unit/failover.test.ts.
 *
 * Owns which groups this leader is changing. Relies on a majority for each step; a step that fails is logged and begun again
 * at a later tick, here or at the next leader.
 */
import type { GroupEntry } from '../catalog/catalog.js';
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Timer } from '../../runtime/runtime.js';
import { targetOf } from './instance_administrator.js';
import type { InstanceMonitor } from './instance_monitor.js';
import { type ChangerContext, PrimaryChanger } from './primary_changer.js';
import { PrimaryEvacuation } from './primary_evacuation.js';
import type { PrimaryHealthOpinions } from './primary_health_opinions.js';

const { GroupPhase, InstanceRole, InstanceState } = whinyoke;

/** Time between two looks at all groups, in milliseconds. A guess, not measured. */
const TICK_MS = 50;
/** Without any opinion of a proxy, heartbeats must be missing for this long, in milliseconds. A guess, not measured. */
const SILENT_HEARTBEAT_MS = 5000;
/** One proxy alone is believed when the primary's heartbeat is older than this, in milliseconds. A guess, not measured. */
const LATE_HEARTBEAT_MS = 1500;
/** Silence soon after a change is more likely load than a fault, for this many milliseconds. A guess, not measured. */
const SETTLING_MS = 2000;

interface KnownEpoch {
  readonly epoch: number;
  readonly beganAt: number;
}

/** An instance that says that it is primary of a term. */
interface PrimaryClaim {
  readonly primary: string;
  readonly term: number;
}

/** Why a primary is to be replaced. */
interface ChangeCause {
  readonly text: string;
  readonly isPlanned: boolean;
}

/** Controller of one control machine. */
export class FailoverController {
  private timer: Timer | undefined;
  private readonly changing = new Set<string>();
  /** Epochs that this leader saw begin, and when. */
  private readonly knownEpochs = new Map<string, KnownEpoch>();
  private isAdopting = false;
  private readonly evacuation: PrimaryEvacuation;

  constructor(
    private readonly context: ChangerContext,
    private readonly monitor: InstanceMonitor,
    private readonly opinions: PrimaryHealthOpinions,
  ) {
    this.evacuation = new PrimaryEvacuation(context.catalog, monitor, context.log);
  }

  /** Starts to watch; does nothing while this machine does not lead. */
  start(): void {
    this.timer = this.context.clock.setTimer(TICK_MS, () => {
      this.tick();
      this.start();
    });
  }

  /** Stops. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Looks at all groups once. */
  tick(): void {
    if (!this.context.isLeading()) return;
    const { catalog } = this.context;
    const names = new Set(catalog.presentInstances.map((instance) => instance.group ?? ''));
    for (const name of names) {
      const entry = catalog.group(name);
      if (!entry) void this.adoptPrimary(name);
      else if (entry.phase === GroupPhase.CHANGING) this.resume(entry);
      else this.judge(entry);
    }
    this.evacuation.report();
  }

  /** A group seen for the first time: the instance that leads it now becomes its primary. */
  private async adoptPrimary(group: string): Promise<void> {
    if (this.isAdopting) return;
    this.isAdopting = true;
    try {
      const claim = await this.strongestClaim(group);
      if (!claim) return;
      const { STEADY: phase } = GroupPhase;
      const { primary, term } = claim;
      await this.context.propose({ putGroup: { group, epoch: 1, phase, primary, term } });
    } catch (error) {
      // The group has no epoch yet; the next tick tries again, on the machine that leads then.
      this.logFailure(group, 'adopt', error);
    } finally {
      this.isAdopting = false;
    }
  }

  /** The instance of the newest term, among those that call themselves primary of a group. */
  private async strongestClaim(group: string): Promise<PrimaryClaim | undefined> {
    const { catalog, administrator } = this.context;
    const claimants = catalog.presentInstances.filter(
      ({ id, group: own }) =>
        own === group && this.monitor.roleOf(id ?? '') === InstanceRole.PRIMARY,
    );
    const statuses = await Promise.all(
      claimants.map((instance) => administrator.status(targetOf(instance))),
    );
    let strongest: PrimaryClaim | undefined;
    for (const [index, status] of statuses.entries()) {
      if (status?.role !== 'primary' || status.term <= (strongest?.term ?? -1)) continue;
      strongest = { primary: claimants[index]!.id ?? '', term: status.term };
    }
    return strongest;
  }

  private resume(entry: GroupEntry): void {
    const group = entry.group ?? '';
    if (this.changing.has(group)) return;
    this.changing.add(group);
    new PrimaryChanger(this.context, entry)
      .run()
      .catch((error: unknown) => this.logFailure(group, 'change', error))
      .finally(() => this.changing.delete(group));
  }

  private judge(entry: GroupEntry): void {
    this.noteEpoch(entry);
    if (this.changing.has(entry.group ?? '')) return;
    const cause = this.causeOfChange(entry);
    if (cause) void this.begin(entry, cause.text, cause.isPlanned);
  }

  private async begin(entry: GroupEntry, cause: string, isPlanned: boolean): Promise<void> {
    const group = entry.group ?? '';
    this.changing.add(group);
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
      this.changing.delete(group);
    }
    this.tick();
  }

  private logFailure(group: string, step: string, error: unknown): void {
    this.context.log(Events.primaryChangeFailed, { group, step, reason: messageOf(error) });
  }

  private causeOfChange(entry: GroupEntry): ChangeCause | undefined {
    if (!this.hasReplacement(entry)) return undefined;
    const primary = this.context.catalog.instance(entry.primary ?? '');
    if (primary?.state === InstanceState.READY) {
      return this.causeByHealth(entry) ?? this.causeByEvacuation(entry);
    }
    return { text: 'the primary leaves', isPlanned: primary?.state === InstanceState.DRAINING };
  }

  private causeByHealth(entry: GroupEntry): ChangeCause | undefined {
    const now = this.context.clock.now();
    const { bad, good, trouble } = this.opinions.verdict(entry.group ?? '', entry.epoch ?? 0, now);
    const heartbeatAge = this.monitor.age(entry.primary ?? '', now);
    if (bad > good) {
      const isConfirmed = bad >= 2 || heartbeatAge > LATE_HEARTBEAT_MS;
      const isSettled = trouble !== 'silent' || this.steadyAge(entry, now) > SETTLING_MS;
      const text = `${bad} proxies find it ${trouble}, ${good} use it; heartbeat age ${Math.round(heartbeatAge)} ms`;
      return isConfirmed && isSettled ? { text, isPlanned: false } : undefined;
    }
    const isSilent = good === 0 && heartbeatAge > SILENT_HEARTBEAT_MS;
    return isSilent
      ? { text: `no heartbeat for ${Math.round(heartbeatAge)} ms`, isPlanned: false }
      : undefined;
  }

  private causeByEvacuation(entry: GroupEntry): ChangeCause | undefined {
    const now = this.context.clock.now();
    const text = this.evacuation.takeCause(entry, this.steadyAge(entry, now), now);
    return text === undefined ? undefined : { text, isPlanned: true };
  }

  /** An epoch that was there before this machine led began long ago, as far as it knows. */
  private noteEpoch(entry: GroupEntry): void {
    const group = entry.group ?? '';
    const known = this.knownEpochs.get(group);
    if (known?.epoch === entry.epoch) return;
    const beganAt = known ? this.context.clock.now() : -Infinity;
    this.knownEpochs.set(group, { epoch: entry.epoch ?? 0, beganAt });
  }

  private steadyAge(entry: GroupEntry, now: number): number {
    return now - (this.knownEpochs.get(entry.group ?? '')?.beganAt ?? -Infinity);
  }

  private hasReplacement(entry: GroupEntry): boolean {
    return this.context.catalog.presentInstances.some(
      (instance) =>
        instance.group === entry.group &&
        instance.id !== entry.primary &&
        instance.state === InstanceState.READY,
    );
  }
}
