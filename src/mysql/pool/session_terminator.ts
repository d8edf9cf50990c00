/**
 * Ends this process's sessions at an instance for certain.
 *
 * Closing a connection tells the instance late, and MySQL lets a statement run on after its client is
 * gone. So whatever was closed counts against the limits until the instance confirmed a KILL.
 * Source: MySQL 8.4 reference manual, "KILL Statement".
 */
import type { BackendConnection } from '../backend/backend.js';
import { MysqlError } from '../wire/protocol.js';
import { DatabaseError } from '../../errors/errors.js';
import { queryText } from '../topology/instance_report.js';

/** Terminations at one instance, confirmed over its monitoring connection. */
export class SessionTerminator {
  /** What to call for each session, oldest first. */
  private readonly waiting = new Map<number, (() => void)[]>();

  /** Whether sessions wait for confirmation. */
  get hasWork(): boolean {
    return this.waiting.size > 0;
  }

  /** Notes a session to end; `onConfirmed` is called once it runs nothing any more. */
  add(sessionId: number, onConfirmed: () => void): void {
    const listeners = this.waiting.get(sessionId) ?? [];
    listeners.push(onConfirmed);
    this.waiting.set(sessionId, listeners);
  }

  /** Ends all noted sessions; rejects when the monitoring connection breaks, and goes on later. */
  async run(connection: BackendConnection): Promise<void> {
    for (const sessionId of this.waiting.keys()) {
      await killSession(connection, sessionId);
      const listeners = this.waiting.get(sessionId) ?? [];
      this.waiting.delete(sessionId);
      for (const onConfirmed of listeners) onConfirmed();
    }
  }
}

async function killSession(connection: BackendConnection, sessionId: number): Promise<void> {
  try {
    await queryText(connection, `KILL ${sessionId}`);
  } catch (error) {
    const isGone = error instanceof DatabaseError && error.code === MysqlError.noSuchThread;
    if (!isGone) throw error;
  }
}
