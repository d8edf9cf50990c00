/** What a connection's session uses of its emulated instance, and what the instance uses of its sessions. */
import type { Runtime } from '../../src/runtime/runtime.js';
import type { GroupMember } from './group_member.js';
import type { NamedLocks } from './named_locks.js';
import type { RowLocks } from './row_locks.js';
import type { Tables } from './tables.js';

/** A session, as its instance sees it. */
export interface HostedSession {
  readonly connectionId: number;
  /** Resolves when the connection ends; a statement under way ends with it. */
  readonly ended: Promise<void>;
  close(): void;
  /** Rolls back an open transaction because the instance is no longer the primary. */
  abortTransaction(): void;
}

/** An instance, as its sessions see it. */
export interface SessionHost {
  readonly runtime: Runtime;
  readonly tables: Tables;
  readonly locks: RowLocks;
  readonly namedLocks: NamedLocks;
  readonly member: GroupMember;
  readonly serverUuid: string;
  /** Whether the instance announces that it takes no new work. */
  readonly isLeaving: boolean;
  readonly options: {
    /** Connections that may be open at the same time. */
    readonly connections: number;
    readonly group: { readonly members: readonly string[] };
  };
  /** Runs `work` in a slot; rejects at once when none is free. */
  inSlot<T>(session: HostedSession, work: () => Promise<T>): Promise<T>;
  /** KILL: ends a connection and the statement that runs on it. */
  killSession(connectionId: number): void;
  /** A session has ended. */
  onSessionClosed(session: HostedSession): void;
}
