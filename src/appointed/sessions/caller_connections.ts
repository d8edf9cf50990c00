/** The callers' connections of one proxy. */
import type { CallerChannel } from './caller_channel.js';
import { CallerConnection, type CloseCause, type SessionSource } from './caller_connection.js';

export class CallerConnections {
  private readonly connections = new Set<CallerConnection>();

  constructor(private readonly source: SessionSource) {}

  /** Adds the connection behind a channel; it leaves the set when it is closed. */
  add(channel: CallerChannel): CallerConnection {
    const connection = new CallerConnection(channel, this.source, () =>
      this.connections.delete(connection),
    );
    this.connections.add(connection);
    return connection;
  }

  /** Number of connections, those that wait for their caller's close included. */
  get size(): number {
    return this.connections.size;
  }

  /** Number of connections with a request in progress or an open transaction. */
  get busyCount(): number {
    return this.count(({ isBusy }) => isBusy);
  }

  /** Number of connections with a request that has no delivered reply. */
  get unansweredCount(): number {
    return this.count(({ hasRequest }) => hasRequest);
  }

  /** Closes the connections that are not busy and have not been used for `minIdleMs`. */
  closeIdle(cause: CloseCause, minIdleMs: number): void {
    for (const connection of this.connections) connection.closeIfIdle(cause, minIdleMs);
  }

  /** Closes each connection as soon as its request is answered; open transactions are rolled back. */
  leave(cause: CloseCause): void {
    for (const connection of this.connections) connection.leave(cause);
  }

  /** Answers every request that has no reply yet with an error. */
  answerNow(): void {
    for (const connection of this.connections) connection.answerNow();
  }

  /** Closes all connections at once; requests without a delivered reply are logged with the reason. */
  abort(reason: string): void {
    for (const connection of this.connections) connection.abort(reason);
  }

  private count(matches: (connection: CallerConnection) => boolean): number {
    return [...this.connections].filter(matches).length;
  }
}
