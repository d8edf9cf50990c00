/** What sessions and the relay server use of the proxy. All calls are answered from memory unless they return a promise. */
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';
import type { Admission } from '../tenancy/admission.js';
import type { AllowanceClient } from '../tenancy/allowance_client.js';
import type { ConnectionSource } from '../connections/connection_source.js';
import type { PrimaryHealthTracker } from '../trust/primary_health_tracker.js';
import type { PrimaryLeases } from '../trust/primary_leases.js';
import type { EvacuationStage } from '../placement/evacuated_zones.js';
import type { CancelReservation } from '../placement/slow_start_gate.js';
import type { ReadCandidate } from '../routing/replica_selector.js';
import type { RouteTable } from '../catalog/route_table.js';
import type { ShutdownDeadline } from '../routing/shutdown_deadline.js';
import type { PrimaryPositions } from './primary_positions.js';

/** Counts requests by outcome. */
export interface RequestCounters {
  /** A caller was answered. */
  answered(route: string, outcome: string, durationMs: number): void;
  /** An instance served a statement. */
  served(route: string, instance: string, isPrimary: boolean, isReplicaAllowed: boolean): void;
  /** A statement was retried. */
  retried(route: string, cause: string): void;
  /** A request was refused because its allowed regions contain no suitable instance. */
  refusedByAllowedRegions(route: string): void;
}

/** Health of primaries, as observed by the proxy's own statements. */
interface SessionPrimaryHealth {
  of(group: string, epoch: number): PrimaryHealthTracker;
}

/** Log positions of primaries, without their synchronisation with control. */
type SessionPositions = Pick<
  PrimaryPositions,
  'minimumPositionOf' | 'recordFromPrimary' | 'awaitMinimumPosition' | 'recordReplicaRead'
>;

/** Confirmation of leases by replicas while control is unreachable. */
interface SessionLeaseConfirmer {
  /** Records that a statement needs the primary of a group. */
  recordPrimaryNeeded(group: string): void;
}

/** Instances that statements may be sent to. */
export interface SessionInstances {
  /** Source of connections to an instance; undefined if the catalog does not list it. */
  connectionsTo(instance: string): ConnectionSource | undefined;
  /** Stage of the evacuation of an instance's zone; undefined if the zone is not being evacuated. */
  evacuationStageOf(instance: string): EvacuationStage | undefined;
  /** Instances of a group that may serve a read now. */
  readCandidates(group: string): readonly ReadCandidate[];
  /** Instances of a group that accept new work, including warming-up ones that are at their limit. */
  instancesAcceptingWork(group: string): readonly string[];
  /** Zone of an instance; undefined if the catalog does not list it. */
  zoneOf(instance: string): string | undefined;
  /** Starts the wait of a request for a connection; undefined if the instance is warming up and at its limit. */
  enter(instance: string, isUrgent: boolean): CancelReservation | undefined;
  /** Counts a request about to be sent to an instance; false if the instance is warming up and must not get it. */
  admit(instance: string, isUrgent: boolean): boolean;
}

/** The proxy as seen by a session. */
export interface ProxyContext {
  readonly clock: Clock;
  readonly zone: string;
  /** Region of each zone listed in the settings. */
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly log: DecisionLog;
  readonly counters: RequestCounters;
  /** Routing document in force; undefined before the first. */
  readonly table: RouteTable | undefined;
  /** Checks credentials. */
  readonly admission: Admission;
  /** Operation limits of tenants. */
  readonly allowances: AllowanceClient;
  readonly leases: PrimaryLeases;
  readonly leaseConfirmer: SessionLeaseConfirmer;
  readonly primaryHealth: SessionPrimaryHealth;
  readonly positions: SessionPositions;
  readonly instances: SessionInstances;
  /** End of this process, if it shuts down. */
  readonly shutdown: ShutdownDeadline;
}
