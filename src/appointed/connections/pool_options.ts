/** Settings of a pool of connections, and what it reports to its proxy. Types only. */
import type { Position } from '../../positions/position.js';
import type { RandomSource } from '../../runtime/runtime.js';
import type { ConnectError } from '../instance/instance_connection.js';
import type { ConnectionQuota } from './connection_quota.js';

/** Settings of a pool. */
export interface PoolOptions {
  /** Connections that this pool may hold, in force now. */
  readonly quota: () => ConnectionQuota;
  /** Statements that the instance runs at a time. */
  readonly slots: () => number;
  /** Longest time of an opening. */
  readonly connectTimeoutMs: number;
  /** Proxies that keep connections to the instance, this one included. */
  readonly proxyCount: () => number;
  /** Whether connections are opened before a request needs one; not where it is unknown for which tenant. */
  readonly opensSpareConnections: () => boolean;
  /** Part of the instance that a tenant may claim where it is full, relative to that of others. */
  readonly weightOf?: (tenant: string) => number;
  /** Spreads the tries of many proxies. */
  readonly random: RandomSource;
}

/** A request that waited, and was refused since more urgent ones came before it. */
interface Displacement {
  readonly tenant: string | undefined;
  readonly priority: number;
  /** How long it has waited, in milliseconds. */
  readonly waitedMs: number;
  /** Requests that wait on. */
  readonly waiting: number;
}

/** What a pool does after the instance was busy. */
interface BusyReaction {
  /** Statements that are sent at a time from now on. */
  readonly limit: number;
  /** How long none is sent, in milliseconds. */
  readonly pauseMs: number;
  /** Requests that wait for their turn. */
  readonly waiting: number;
}

/** Called by a pool about its instance. */
export interface PoolListener {
  /** A connection could not be opened. */
  onConnectFailed(error: ConnectError): void;
  /** A connection was opened; the instance named its position after `startedAt`. */
  onOpened(position: Position, startedAt: number): void;
  /** The instance turned a statement away, and the pool sends fewer from now on. */
  onBusy(reaction: BusyReaction): void;
  /** A request that waited was refused. */
  onDisplaced(displacement: Displacement): void;
}
