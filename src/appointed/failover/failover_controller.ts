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
import { servedRoutes } from '../placement/primary_homes.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Timer } from '../../runtime/runtime.js';
import { DirectQuestions } from './direct_questions.js';
import { targetOf } from './instance_target.js';
import type { InstanceMonitor } from './instance_monitor.js';
import { type ChangerContext, PrimaryChanger } from './primary_changer.js';
import { PrimaryEvacuation, isHeard } from './primary_evacuation.js';
import type { PrimaryHealthOpinions } from './primary_health_opinions.js';
import { troubleOf, wantsDirectAnswer } from './primary_trouble.js';

const { GroupPhase, InstanceRole, InstanceState } = whinyoke;

/** Time between two looks at all groups, in milliseconds. A guess, not measured. */
const TICK_MS = 50;

/**
 * A change for the sake of homes that ended outside them again, for want of a proof, is not tried anew for this long, in
 * milliseconds: each try keeps writes waiting. A guess, not measured.
 */
const HOMES_RETRY_MS = 30_000;

interface KnownEpoch {
  readonly epoch: number;
  readonly beganAt: number;
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
  private readonly changing = new Set<string>();
  /** Epochs that this leader saw begin, and when. */
  private readonly knownEpochs = new Map<string, KnownEpoch>();
  private isAdopting = false;
  private readonly questions: DirectQuestions;
  private readonly evacuation: PrimaryEvacuation;

  constructor(
    private readonly context: ChangerContext,
    private readonly monitor: InstanceMonitor,
    private readonly opinions: PrimaryHealthOpinions,
  ) {
    this.questions = new DirectQuestions(context);
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
    const names = new Set(this.usable.map((instance) => instance.group ?? ''));
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
    const claimants = this.usable.filter(
      ({ id, group: own }) =>
        own === group && this.monitor.roleOf(id ?? '') === InstanceRole.PRIMARY,
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
    const isSame = (primary?.incarnation ?? 0) === (entry.primaryIncarnation ?? 0);
    if (primary && !isSame) return { text: 'the primary started again', isPlanned: false };
    if (primary?.state === InstanceState.READY) {
      return (
        this.causeByHealth(entry) ??
        this.causeByEvacuation(entry) ??
        this.causeByHomes(entry, primary)
      );
    }
    return { text: 'the primary leaves', isPlanned: primary?.state === InstanceState.DRAINING };
  }

  private causeByHealth(entry: GroupEntry): ChangeCause | undefined {
    const now = this.context.clock.now();
    const verdict = this.opinions.verdict(entry.group ?? '', entry.epoch ?? 0, now);
    if (wantsDirectAnswer(verdict)) this.questions.ask(entry);
    else this.questions.forget(entry);
    const text = troubleOf({
      verdict,
      heartbeatAgeMs: this.monitor.age(entry.primary ?? '', now),
      steadyMs: this.steadyAge(entry, now),
      direct: this.questions.evidenceOn(entry),
    });
    return text === undefined ? undefined : { text, isPlanned: false };
  }

  /** A primary that may serve fewer routes than another instance is replaced as planned. */
  private causeByHomes(entry: GroupEntry, primary: InstanceEntry): ChangeCause | undefined {
    const { catalog, clock } = this.context;
    const now = clock.now();
    if (this.steadyAge(entry, now) < HOMES_RETRY_MS) return undefined;
    const own = servedRoutes(primary, this.context);
    const isBetter = (other: InstanceEntry): boolean =>
      servedRoutes(other, this.context) > own &&
      !catalog.isEvacuated(other.zone ?? '') &&
      isHeard(this.monitor, other.id ?? '', now);
    if (!this.replacementsFor(entry).some(isBetter)) return undefined;
    return {
      text: `its region keeps it from routes that another instance may serve`,
      isPlanned: true,
    };
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
  private get usable(): readonly InstanceEntry[] {
    const { catalog, document } = this.context;
    const { table } = document;
    return catalog.presentInstances.filter(
      (instance) => unusableReason(instance, table) === undefined,
    );
  }
}
