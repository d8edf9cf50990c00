/**
 * Graceful shutdown of a control machine: every call and message that was read is answered.
 *
 * 1. New calls of operators and instances are refused, so that they go to another machine. What was
 *    read before ends as usual: a leader still leads, so changes end with their outcome.
 * 2. The machine stops. Changes that are still not committed may or may not be in force; their
 *    senders are told that there is no answer. Proxies that wait for updates are refused, and search
 *    for the next leader at once.
 * 3. The process ends when all answers have been delivered.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import type { TcpMessenger } from '../../runtime/tcp_messenger.js';
import type { AppointedControl } from './appointed_control.js';

/** Calls of operators and instances, as far as a shutdown needs them. */
export interface OperatorApi {
  /** Refuses the calls that are read from now on; resolves once all earlier ones are answered. */
  drain(): Promise<void>;
  /** Stops listening; resolves once all answers are delivered and all connections closed. */
  close(): Promise<void>;
  /** Number of calls without a delivered answer. */
  readonly unansweredCount: number;
}

/** The parts of a control machine that a shutdown ends. */
export interface StoppingControl {
  readonly clock: Clock;
  readonly api: OperatorApi;
  readonly core: Pick<AppointedControl, 'drain' | 'stop'>;
  readonly messenger: Pick<TcpMessenger, 'finish'>;
}

/** Longest wait for outcomes: callers wait for a second before they go to another machine. */
const OUTCOME_LIMIT_MS = 1000;
/** Longest wait for the delivery of answers. */
const DELIVERY_LIMIT_MS = 300;

/** Shuts down; resolves with the number of calls whose answers were not delivered. */
export async function stopControl(control: StoppingControl): Promise<number> {
  const { clock, api, core, messenger } = control;
  const outcomes = Promise.all([api.drain(), core.drain()]);
  await Promise.race([outcomes, delay(clock, OUTCOME_LIMIT_MS)]);
  core.stop();
  const messages = messenger.finish(DELIVERY_LIMIT_MS);
  await Promise.race([api.close(), delay(clock, DELIVERY_LIMIT_MS)]);
  await messages;
  return api.unansweredCount;
}
