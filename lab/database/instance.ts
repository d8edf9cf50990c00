/**
 * One emulated database instance: group member, committed tables, and the scarce resources that a proxy
 * must not exceed (connections and slots for running statements).
 */
import { DatabaseError } from '../../src/errors/errors.js';
import { type DataFolder, type Runtime, delay } from '../../src/runtime/runtime.js';
import { formatPosition } from '../../src/positions/position.js';
import { GroupMember, type GroupOptions, type LogEntry, type MemberRole } from './group_member.js';
import { InstanceSession } from './instance_session.js';
import { NamedLocks } from './named_locks.js';
import { RowLocks } from './row_locks.js';
import type { HostedSession, SessionHost } from './session_host.js';
import { Tables } from './tables.js';

const ER_NO_SUCH_THREAD = { code: 1094, sqlState: 'HY000' };

/** Sizes and timing of an instance. */
export interface InstanceOptions {
  readonly group: GroupOptions;
  /** Statements that may run at the same time. */
  readonly slots: number;
  /** Connections that may be open at the same time. */
  readonly connections: number;
  /** Time to open a connection, in milliseconds. */
  readonly connectMs: number;
  /** Time that each statement holds its slot, in milliseconds. */
  readonly statementMs: number;
  /** How long a statement waits for a row lock, in milliseconds. */
  readonly lockWaitMs: number;
}

/** Highest use seen and refusals made; read by the lab's checks. */
export interface InstanceUsage {
  connections: number;
  running: number;
  highestConnections: number;
  highestRunning: number;
  refusedConnections: number;
  refusedStatements: number;
  statements: number;
}

/** Observes an instance from outside, for histories. */
export interface InstanceObserver {
  onRole(role: MemberRole, term: number): void;
}

/** One instance of a database group. */
export class DatabaseInstance implements SessionHost {
  readonly tables = new Tables();
  readonly locks: RowLocks;
  readonly namedLocks = new NamedLocks();
  readonly member: GroupMember;
  readonly usage: InstanceUsage = {
    connections: 0,
    running: 0,
    highestConnections: 0,
    highestRunning: 0,
    refusedConnections: 0,
    refusedStatements: 0,
    statements: 0,
  };
  private readonly sessions = new Set<HostedSession>();
  private nextConnectionId = 1;
  /** Factor on the time that statements take; raised by the lab's `slow` fault. */
  slowness = 1;
  /** Whether the instance announces that it takes no new work. */
  isLeaving = false;

  constructor(
    readonly runtime: Runtime,
    folder: DataFolder,
    readonly options: InstanceOptions,
    private readonly observer?: InstanceObserver,
  ) {
    this.locks = new RowLocks(runtime.clock, options.lockWaitMs);
    this.member = new GroupMember(runtime, folder, options.group, {
      onExecuted: (entry: LogEntry) => this.tables.apply(entry.changes),
      onRollback: () => this.tables.clear(),
      onRole: (role, term) => this.onRole(role, term),
    });
  }

  /** Reads the durable state, or what is left of it, and joins the group. */
  async start(lostDisk = false): Promise<void> {
    await this.member.start(lostDisk);
    this.runtime.messenger.serve((body) => this.member.handle(body));
  }

  /**
   * Opens a connection; rejects when all are in use.
   * @param connectionId - number told to the client; the next free one when undefined
   */
  async connect(connectionId = this.nextConnectionId++): Promise<InstanceSession> {
    if (this.usage.connections >= this.options.connections) {
      this.usage.refusedConnections++;
      throw new DatabaseError('Too many connections', { code: 1040, sqlState: '08004' });
    }
    this.usage.connections++;
    this.usage.highestConnections = Math.max(this.usage.highestConnections, this.usage.connections);
    const session = new InstanceSession(this, connectionId);
    this.sessions.add(session);
    await delay(this.runtime.clock, this.options.connectMs);
    return session;
  }

  /** KILL: ends a connection and the statement that runs on it. */
  killSession(connectionId: number): void {
    const session = [...this.sessions].find((item) => item.connectionId === connectionId);
    if (session) session.close();
    else throw new DatabaseError(`Unknown thread id: ${connectionId}`, ER_NO_SUCH_THREAD);
  }

  /** Called by a session that ends. */
  onSessionClosed(session: HostedSession): void {
    if (!this.sessions.delete(session)) return;
    this.usage.connections--;
    this.namedLocks.releaseAll(session);
  }

  /** Runs `work` in a slot; rejects at once when none is free. */
  async inSlot<T>(session: HostedSession, work: () => Promise<T>): Promise<T> {
    if (this.usage.running >= this.options.slots) {
      this.usage.refusedStatements++;
      throw new DatabaseError('Too many statements are running', {
        code: 1226,
        sqlState: '42000',
      });
    }
    this.usage.running++;
    this.usage.statements++;
    this.usage.highestRunning = Math.max(this.usage.highestRunning, this.usage.running);
    try {
      const time = this.options.statementMs * this.slowness;
      if (time > 0) await Promise.race([delay(this.runtime.clock, time), session.ended]);
      return await work();
    } finally {
      this.usage.running--;
    }
  }

  /** Announces that the instance takes no new work, or takes that back; a primary steps down. */
  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
    this.member.setCandidate(!isLeaving);
  }

  /** State for the lab. */
  describe(): object {
    const { member } = this;
    return {
      address: this.serverUuid,
      role: member.role,
      writable: member.isWritable,
      term: member.term,
      received: formatPosition(member.receivedPosition),
      executed: formatPosition(member.executedPosition),
      online: member.isOnline,
      usage: this.usage,
    };
  }

  /** Address of this instance in its group, which is also its server UUID here. */
  get serverUuid(): string {
    return this.options.group.address;
  }

  private onRole(role: MemberRole, term: number): void {
    // Group Replication disconnects clients whose transactions a change of primary ends.
    if (role === 'secondary') for (const session of this.sessions) session.abortTransaction();
    this.observer?.onRole(role, term);
  }
}
