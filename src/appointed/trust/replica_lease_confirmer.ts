/**
 * DECISION: when replicas extend a lease while control is out of reach. Owns the rounds of questions; relies on replicas,
 * which may not answer: the lease then ends by itself.
 *
 * Answers: control, or the network to it, is gone while primaries work on.
 * Inputs: age of control's newest answer (ms), groups whose primary statements want, answers of replicas (role, term, term
 * for which they are held).
 * Rule: a lease is extended for {@link REPLICA_LEASE_MS} from when the replicas were asked, if every replica of the group
 * answers and none of them is primary, follows a newer term or is held for one.
 *
 * Why that is safe: a change of primary holds the replica that it appoints: the replica receives
 * nothing from the old primary any more, and answers so. As long as no replica of a group is held, no change has
 * come that far, so the primary may be used for a moment longer. Control appoints a replica beside proxies that it can't
 * reach only after it was held for longer than that moment (`src/appointed/failover/appointment_fence.ts`).
 *
 * Only primaries that statements wait for are confirmed: each round takes a slot of every replica of the group, and with
 * many proxies in front of many groups all rounds together would take the slots of callers (docs/measurements/large.md: 115
 * proxies x 28 replicas x 5 questions a second, 1,282 answers `busy`).
 *
 * Shown by: docs/design/appointed-primaries.md; test/unit/failover.test.ts; test/simulation/control_silence.test.ts;
 * docs/measurements/pieraksts.md for the mechanism as a whole: score of a day with faults 0.449 to 0.609.
 */
import {
  MAX_REPLICA_LEASE_SILENCE_MS,
  REPLICA_LEASE_MS,
  type ReplicaAnswer,
  replicaLeaseObjection,
} from '../leases/replica_lease.js';
import { Events } from '../../observability/events.js';
import type { Clock } from '../../runtime/runtime.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import type { ConnectionRequest, PooledConnection } from '../connections/pooled_connection.js';
import type { PrimaryLeases } from './primary_leases.js';
import type { DecisionLog } from '../../observability/decision_logger.js';

/** Silence of control after which replicas are asked, in milliseconds: well before a lease of control ends. Guess, not measured. */
const MIN_CONTROL_SILENCE_MS = 1200;
/** Time between two rounds of a group, in milliseconds: three rounds in a lease. Guess, not measured. */
const ROUND_INTERVAL_MS = 200;
/**
 * A primary that was wanted within this time is confirmed in each round, in milliseconds; any other when it is wanted.
 * Guess, not measured.
 */
const RECENT_USE_MS = 400;
/**
 * Time between two rounds of the one group that is confirmed though nobody wants its primary, in milliseconds: shorter than
 * the lease. Guess, not measured.
 */
const UNUSED_GROUP_ROUND_INTERVAL_MS = 600;
/** Time for a connection, and for an answer on it, in milliseconds. Guess, not measured. */
const ANSWER_TIMEOUT_MS = 250;
/** Before all requests of callers, which depend on the answer. */
const PRIORITY = 0;
/** Outcome of a round in which no replica objected. */
const CONFIRMED = 'confirmed';
/** Any connection will do, also one of a tenant: the question is the system's own. */
const STATUS_CONNECTION_REQUEST: ConnectionRequest = {
  tenant: undefined,
  values: new Map(),
  priority: PRIORITY,
};

/** A replica of a group as the proxy knows it. */
export interface ConfirmingReplica {
  readonly instance: string;
  /** Undefined when the proxy has no connections to it. */
  readonly pool: ConnectionSource | undefined;
}

/** What the confirmer needs of its proxy. */
interface ReplicaLeaseConfirmerDependencies {
  readonly clock: Clock;
  readonly leases: PrimaryLeases;
  readonly log: DecisionLog;
  /** All instances of a group but its primary, whatever their state. */
  replicasOf(group: string): readonly ConfirmingReplica[];
}

/** Rounds of questions for one group. */
interface GroupRounds {
  /** When the newest round was started. */
  startedAt: number;
  /** Whether answers of it are awaited. */
  isInFlight: boolean;
  /** Outcome of the newest round, as logged. */
  outcome: string | undefined;
}

/** Asks the replicas of all groups of one proxy. */
export class ReplicaLeaseConfirmer {
  private readonly rounds = new Map<string, GroupRounds>();
  private readonly neededAt = new Map<string, number>();
  private isActive = false;
  /** Group that is confirmed though nobody wants its primary, so that the proxy knows whether it can serve at all. */
  private unusedGroup = '';

  constructor(private readonly dependencies: ReplicaLeaseConfirmerDependencies) {}

  /** Notes that a statement wants the primary of a group. */
  recordPrimaryNeeded(group: string): void {
    const now = this.dependencies.clock.now();
    this.neededAt.set(group, now);
    const { leases } = this.dependencies;
    const isLeaseMissing = this.isActive && leases.primaryOf(group, now) === undefined;
    if (isLeaseMissing && leases.leasedGroups().includes(group)) this.startRoundIfDue(group, now);
  }

  /**
   * Asks the replicas of the groups that are due; called often, with the age of the newest request that control answered, in
   * milliseconds.
   */
  maintain(controlSilenceMs: number): void {
    this.isActive =
      controlSilenceMs > MIN_CONTROL_SILENCE_MS && controlSilenceMs < MAX_REPLICA_LEASE_SILENCE_MS;
    if (!this.isActive) {
      this.rounds.clear();
      return;
    }
    const now = this.dependencies.clock.now();
    const groups = this.dependencies.leases.leasedGroups();
    for (const group of groups) {
      const isNeeded = now - (this.neededAt.get(group) ?? -Infinity) < RECENT_USE_MS;
      if (isNeeded) this.startRoundIfDue(group, now);
    }
    this.confirmUnusedGroup(groups, now);
  }

  /** Keeps the lease of one group that nobody wants; of another one when the present one is not confirmed. */
  private confirmUnusedGroup(groups: readonly string[], now: number): void {
    const known = this.rounds.get(this.unusedGroup);
    const hasEnded = known !== undefined && !known.isInFlight;
    if (hasEnded && known.outcome !== CONFIRMED) {
      this.unusedGroup = groups[(groups.indexOf(this.unusedGroup) + 1) % groups.length] ?? '';
    } else if (!groups.includes(this.unusedGroup)) {
      this.unusedGroup = groups[0] ?? '';
    }
    const isDue =
      now - (this.rounds.get(this.unusedGroup)?.startedAt ?? -Infinity) >=
      UNUSED_GROUP_ROUND_INTERVAL_MS;
    if (this.unusedGroup !== '' && isDue) this.startRoundIfDue(this.unusedGroup, now);
  }

  private startRoundIfDue(group: string, now: number): void {
    const rounds = this.roundsOf(group);
    if (rounds.isInFlight || now - rounds.startedAt < ROUND_INTERVAL_MS) return;
    rounds.startedAt = now;
    rounds.isInFlight = true;
    void this.runRound(group, rounds);
  }

  private roundsOf(group: string): GroupRounds {
    let rounds = this.rounds.get(group);
    if (!rounds) {
      rounds = { startedAt: -Infinity, isInFlight: false, outcome: undefined };
      this.rounds.set(group, rounds);
    }
    return rounds;
  }

  private async runRound(group: string, rounds: GroupRounds): Promise<void> {
    const { leases } = this.dependencies;
    const { epoch = 0, term = 0 } = leases.entryOf(group) ?? {};
    const replicas = this.dependencies.replicasOf(group);
    const answers = await Promise.all(replicas.map((replica) => this.statusOf(replica)));
    rounds.isInFlight = false;
    const objection =
      this.memberObjection(group, replicas) ??
      answers
        .map((answer) => replicaLeaseObjection(answer, term ?? 0))
        .find((text) => text !== undefined);
    const until = rounds.startedAt + REPLICA_LEASE_MS;
    if (objection === undefined) leases.extend(group, epoch ?? 0, until);
    this.logOutcome(group, rounds, objection ?? CONFIRMED);
  }

  /** Why the replicas that were asked can't answer for the group now. */
  private memberObjection(group: string, asked: readonly ConfirmingReplica[]): string | undefined {
    if (asked.length === 0) return 'no replica is known';
    const present = new Map(
      this.dependencies.replicasOf(group).map(({ instance, pool }) => [instance, pool]),
    );
    const changed = asked.find(
      ({ instance, pool }) => present.has(instance) && present.get(instance) !== pool,
    );
    return changed && `${changed.instance} started again`;
  }

  private async statusOf({ instance, pool }: ConfirmingReplica): Promise<ReplicaAnswer> {
    if (!pool) return { instance, problem: 'not connected' };
    let pooled: PooledConnection | undefined;
    try {
      pooled = await pool.acquire(STATUS_CONNECTION_REQUEST, ANSWER_TIMEOUT_MS);
      const { status, error } = await pooled.connection.run({ kind: 'status' }, ANSWER_TIMEOUT_MS);
      pool.release(pooled);
      return status ? { instance, status } : { instance, problem: error?.kind ?? 'no state' };
    } catch (error) {
      if (pooled) pool.discard(pooled);
      return { instance, problem: error instanceof Error ? error.message : 'no answer' };
    }
  }

  /** Logs an outcome that differs from that of the round before. */
  private logOutcome(group: string, rounds: GroupRounds, outcome: string): void {
    if (rounds.outcome === outcome) return;
    rounds.outcome = outcome;
    const epoch = this.dependencies.leases.entryOf(group)?.epoch ?? 0;
    this.dependencies.log(Events.leaseWitnessed, { group, epoch, outcome });
  }
}
