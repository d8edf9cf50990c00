/**
 * Graceful stop of a proxy: no command that was read is left without a whole answer.
 *
 * 1. New transactions and statements outside one are refused, and idle connections are closed. Statements and transactions in
 *    progress, also those of other proxies, go on.
 * 2. When none is left, or their time is over, the connections to instances and to other gateways are closed, which ends each
 *    statement with its verdict.
 * 3. A command that has no answer by then gets one that promises nothing, and the remaining connections are closed.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import type { StopDeadline } from './stop_deadline.js';

const POLL_INTERVAL_MS = 10;

/** The part of a proxy that runs statements. */
export interface StoppingCore {
  readonly stopDeadline: StopDeadline;
  /** Number of sessions of other proxies with a transaction, a statement or unread rows here. */
  readonly forwardedSessionCount: number;
  /** Announces the stop and refuses new work. */
  beginStop(deadlineMs: number): Promise<void>;
  /** Ends all statements and transactions with their verdicts; nothing is sent to an instance any more. */
  endStatements(): void;
  /** Ends everything else. */
  finishStop(): void;
}

/** The part of a proxy that holds the callers' connections. */
export interface StoppingListener {
  /** Refuses new connections with an error, and closes each open one as soon as nothing is in progress on it. */
  drain(): void;
  /** Whether no caller that has signed on is left. */
  readonly isDrained: boolean;
  /** Logs the commands in progress, whose time is over. */
  logEndedCommands(): void;
  /** Whether each command has an answer that has left this process. */
  readonly isAnswered: boolean;
  /** Answers each remaining command and closes all connections behind the answers. */
  conclude(): void;
  /** Number of open connections. */
  readonly connectionCount: number;
  /** Stops accepting and closes what is left; returns the number of connections whose answers had not left this process. */
  abort(): number;
}

/** Stops a proxy within `deadlineMs`; resolves with the number of connections that were closed without a delivered answer. */
export async function stopGracefully(
  core: StoppingCore,
  listener: StoppingListener,
  clock: Clock,
  deadlineMs: number,
): Promise<number> {
  await core.beginStop(deadlineMs);
  const { stopDeadline } = core;
  listener.drain();
  const isOver = (): boolean => listener.isDrained && core.forwardedSessionCount === 0;
  await waitUntil(clock, isOver, stopDeadline.remainingMs);
  listener.logEndedCommands();
  core.endStatements();
  const isAnswered = (): boolean => listener.isAnswered && core.forwardedSessionCount === 0;
  await waitUntil(clock, isAnswered, stopDeadline.conclusionMs / 2);
  listener.conclude();
  await waitUntil(clock, () => listener.connectionCount === 0, stopDeadline.conclusionMs / 2);
  const cutOff = listener.abort();
  core.finishStop();
  return cutOff;
}

async function waitUntil(clock: Clock, condition: () => boolean, limitMs: number): Promise<void> {
  const endAt = clock.now() + limitMs;
  while (!condition() && clock.now() < endAt) {
    await delay(clock, Math.min(POLL_INTERVAL_MS, endAt - clock.now()));
  }
}
