/**
 * Extends leases by asking replicas while control is unreachable.
 *
 * A lease is extended for {@link REPLICA_LEASE_MS} from when the replicas were asked, if every replica of the group answers
 * and none is primary, follows a newer term or is fenced for one.
 *
 * Why that is safe: a change of primary fences the replica that it appoints, so that it receives nothing from the old
 * primary and answers so. While no replica of a group is fenced, no change has come that far. Beside proxies that control
 * can't reach, it appoints a replica only after that was fenced for longer than such a lease lasts
 * (`src/appointed/failover/appointment_fence.ts`).
 *
 * Only primaries that statements need are confirmed: each round takes a connection slot of every replica of the group, and
 * the rounds of many proxies for many groups would use up the slots of callers.
 *
 * Design: docs/design/appointed-primaries.md.
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

/** Time without an answer of control after which replicas are asked; well before a lease of control ends. */
const MIN_CONTROL_SILENCE_MS = 1200;
/** Interval between rounds of a group: three rounds in a lease. */
const ROUND_INTERVAL_MS = 200;
/** A primary needed within this time is confirmed in each round; any other one when it is next needed. */
const RECENT_USE_MS = 400;
/** Interval between rounds of the one group that is confirmed without being needed; shorter than the lease. */
const UNUSED_GROUP_ROUND_INTERVAL_MS = 600;
/** Timeout to get a connection, and for an answer on it: more than a round trip within a region and a short queue. */
const ANSWER_TIMEOUT_MS = 250;
/** Ahead of all requests of callers, which depend on the answer. */
const PRIORITY = 0;
/** Outcome of a round without an objection. */
const CONFIRMED = 'confirmed';
/** Any connection serves, also one of a tenant: the status request belongs to no tenant. */
const STATUS_CONNECTION_REQUEST: ConnectionRequest = {
  tenant: undefined,
  values: new Map(),
  priority: PRIORITY,
};

/** Replica of a group as this proxy knows it. */
export interface ConfirmingReplica {
  readonly instance: string;
  /** Undefined when the proxy has no connections to it. */
  readonly pool: ConnectionSource | undefined;
}

interface ReplicaLeaseConfirmerDependencies {
  readonly clock: Clock;
  readonly leases: PrimaryLeases;
  readonly log: DecisionLog;
  /** All instances of a group except its primary, in any state. */
  replicasOf(group: string): readonly ConfirmingReplica[];
}

/** Status rounds of one group. */
interface GroupRounds {
  /** Start of the newest round. */
  startedAt: number;
  /** Whether its answers are outstanding. */
  isInFlight: boolean;
  /** Outcome of the newest completed round, as logged. */
  outcome: string | undefined;
}

/** Lease confirmer of one proxy. */
export class ReplicaLeaseConfirmer {
  private readonly rounds = new Map<string, GroupRounds>();
  private readonly neededAt = new Map<string, number>();
  private isActive = false;
  /** Group that is confirmed without being needed, so that the proxy knows whether it can serve at all. */
  private unusedGroup = '';

  constructor(private readonly dependencies: ReplicaLeaseConfirmerDependencies) {}

  /** Records that a statement needs the primary of a group; starts a round if its lease is missing. */
  recordPrimaryNeeded(group: string): void {
    const now = this.dependencies.clock.now();
    this.neededAt.set(group, now);
    const { leases } = this.dependencies;
    const isLeaseMissing = this.isActive && leases.primaryOf(group, now) === undefined;
    if (isLeaseMissing && leases.leasedGroups().includes(group)) this.startRoundIfDue(group, now);
  }

  /**
   * Starts the rounds that are due; called often.
   * @param controlSilenceMs - age of the newest request that control answered
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

  /** Confirms one group that no statement needs; moves to the next group when a round was not confirmed. */
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

  /** Why the answers of these replicas don't count for the group now; undefined when they do. */
  private memberObjection(group: string, asked: readonly ConfirmingReplica[]): string | undefined {
    if (asked.length === 0) return 'the group has no known replica';
    const present = new Map(
      this.dependencies.replicasOf(group).map(({ instance, pool }) => [instance, pool]),
    );
    const changed = asked.find(
      ({ instance, pool }) => present.has(instance) && present.get(instance) !== pool,
    );
    return changed && `${changed.instance} restarted during the round`;
  }

  private async statusOf({ instance, pool }: ConfirmingReplica): Promise<ReplicaAnswer> {
    if (!pool) return { instance, problem: 'no connections to the replica' };
    let pooled: PooledConnection | undefined;
    try {
      pooled = await pool.acquire(STATUS_CONNECTION_REQUEST, ANSWER_TIMEOUT_MS);
      const { status, error } = await pooled.connection.run({ kind: 'status' }, ANSWER_TIMEOUT_MS);
      pool.release(pooled);
      return status
        ? { instance, status }
        : { instance, problem: error?.kind ?? 'answer without status' };
    } catch (error) {
      if (pooled) pool.discard(pooled);
      return { instance, problem: error instanceof Error ? error.message : 'no answer' };
    }
  }

  /** Logs an outcome that differs from the previous round's. */
  private logOutcome(group: string, rounds: GroupRounds, outcome: string): void {
    if (rounds.outcome === outcome) return;
    rounds.outcome = outcome;
    const epoch = this.dependencies.leases.entryOf(group)?.epoch ?? 0;
    this.dependencies.log(Events.leaseWitnessed, { group, epoch, outcome });
  }
}
