/** What sessions need of the process that they run in. */
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';
import type { Position } from '../../positions/position.js';
import type { Admission } from '../tenancy/admission.js';
import type { AllowanceClient } from '../tenancy/allowance_client.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import type { PositionFloor } from '../routing/position_floor.js';
import type { PrimaryObserver } from '../trust/primary_observer.js';
import type { PrimaryTrust } from '../trust/primary_trust.js';
import type { ReadCandidate } from '../routing/replica_selector.js';
import type { RouteTable } from '../catalog/route_table.js';

/** Counts how requests ended. */
export interface RequestCounters {
  /** An answer to a caller. */
  answered(route: string, outcome: string, durationMs: number): void;
  /** An instance served a statement. */
  served(route: string, instance: string, isPrimary: boolean, isReplicaAllowed: boolean): void;
  /** A statement was tried again. */
  retried(route: string, cause: string): void;
}

/** Surroundings of a session. */
export interface ProxyContext {
  readonly clock: Clock;
  readonly zone: string;
  readonly trust: PrimaryTrust;
  readonly log: DecisionLog;
  readonly counters: RequestCounters;
  /** Whose credential allows what. */
  readonly admission: Admission;
  /** Limits on the operations of tenants. */
  readonly allowances: AllowanceClient;
  /** Routing document in force; undefined before the first. */
  readonly table: RouteTable | undefined;
  floorOf(group: string): PositionFloor;
  /** Notes a position that the trusted primary of `epoch` told to a request that was sent at `askedAt`. */
  notePrimaryPosition(group: string, epoch: number, askedAt: number, position: Position): void;
  /**
   * Resolves when a position of the group's primary is known, or when none is to be expected soon. Replicas can serve
   * reads from then on, so that not all first reads after a start go to the primaries.
   */
  awaitFloor(group: string): Promise<void>;
  /** Notes that a statement wants the primary of a group. */
  notePrimaryWanted(group: string): void;
  /** Notes a read that replicas may serve. */
  noteReplicaRead(group: string): void;
  observerOf(group: string, epoch: number): PrimaryObserver;
  poolOf(instance: string): ConnectionSource | undefined;
  /** Instances of a group that take new work. */
  readCandidates(group: string): readonly ReadCandidate[];
}
