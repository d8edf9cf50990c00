/**
 * What sessions and the relay server need of the proxy that they run in, grouped by the part that serves it. Owns nothing.
 * Every part answers from memory; only instances, and control behind `admission` and `allowances`, may fail to answer.
 */
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
import type { PrimaryPositions } from './primary_positions.js';

/** Counts how requests ended. */
export interface RequestCounters {
  /** An answer to a caller. */
  answered(route: string, outcome: string, durationMs: number): void;
  /** An instance served a statement. */
  served(route: string, instance: string, isPrimary: boolean, isReplicaAllowed: boolean): void;
  /** A statement was tried again. */
  retried(route: string, cause: string): void;
  /** A request was refused since its homes left no instance. */
  refusedByAllowedRegions(route: string): void;
}

/** Health of primaries as the proxy's own statements show it. */
interface SessionPrimaryHealth {
  /** Tracker of an epoch of a group. */
  of(group: string, epoch: number): PrimaryHealthTracker;
}

/** Positions of primaries, without their synchronisation with control. */
type SessionPositions = Pick<
  PrimaryPositions,
  'minimumPositionOf' | 'recordFromPrimary' | 'awaitMinimumPosition' | 'recordReplicaRead'
>;

/** Confirmation of leases by replicas, while control is out of reach. */
interface SessionLeaseConfirmer {
  /** Notes that a statement wants the primary of a group. */
  recordPrimaryNeeded(group: string): void;
}

/** Instances that statements may be sent to. */
export interface SessionInstances {
  /** Source of connections to an instance; undefined when the catalog does not list it. */
  connectionsTo(instance: string): ConnectionSource | undefined;
  /** How far the evacuation of an instance's zone has come; undefined when it is not evacuated. */
  evacuationStageOf(instance: string): EvacuationStage | undefined;
  /** Instances of a group that may be sent a read now. */
  readCandidates(group: string): readonly ReadCandidate[];
  /** Instances of a group that take new work, cold ones without room for more included. */
  instancesAcceptingWork(group: string): readonly string[];
  /** Zone of an instance; undefined when the catalog does not list it. */
  zoneOf(instance: string): string | undefined;
  /** Begins the wait of a request for a connection to an instance; undefined when that is cold and has no room for it. */
  enter(instance: string, isUrgent: boolean): CancelReservation | undefined;
  /** Counts a request that this process sends to an instance now; false when the instance is cold and must not get it. */
  admit(instance: string, isUrgent: boolean): boolean;
}

/** Surroundings of a session. */
export interface ProxyContext {
  /** Clock of this process. */
  readonly clock: Clock;
  /** Zone of this process. */
  readonly zone: string;
  /** Region of each zone that the settings name. */
  readonly regionByZone: ReadonlyMap<string, string>;
  /** Log of decisions. */
  readonly log: DecisionLog;
  /** Counters of requests. */
  readonly counters: RequestCounters;
  /** Routing document in force; undefined before the first. */
  readonly table: RouteTable | undefined;
  /** Decides what a credential allows. */
  readonly admission: Admission;
  /** Limits on the operations of tenants. */
  readonly allowances: AllowanceClient;
  /** Leases on primaries. */
  readonly leases: PrimaryLeases;
  /** Confirmation of leases by replicas. */
  readonly leaseConfirmer: SessionLeaseConfirmer;
  /** Health of primaries. */
  readonly primaryHealth: SessionPrimaryHealth;
  /** Positions of primaries. */
  readonly positions: SessionPositions;
  /** Instances that statements may be sent to. */
  readonly instances: SessionInstances;
}
