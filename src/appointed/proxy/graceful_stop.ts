/**
 * Graceful shutdown of a proxy: no request that was read is left without a whole answer.
 *
 * 1. The proxy reports that it is not ready and keeps serving, until new callers use other proxies.
 * 2. Connections are closed when they are idle. New ones are still served: callers may have no other proxy.
 *    Throughout, a request that may need longer than the shutdown lasts is refused at once (ShutdownDeadline).
 * 3. When nothing is left, or nothing may be started any more, connections to instances are closed, which ends what still runs there.
 *    Each remaining request is answered, and the callers are asked to close their connections.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import type { ShutdownDeadline } from '../routing/shutdown_deadline.js';
import type { CallerConnections } from '../sessions/caller_connections.js';

/** Fraction of the grace period after which idle connections are closed. */
const SERVING_FRACTION = 0.4;
/** Fraction of the grace period before which an idle proxy does not stop, because new callers may still connect. */
const MIN_DURATION_FRACTION = SERVING_FRACTION + 0.1;
/** Fraction of the grace period until which requests are answered. The rest is for delivery and the end of the process. */
const ANSWER_FRACTION = 0.9;
/** Fraction of the grace period for the last answers, and once more for the callers to close their connections. */
const CONCLUSION_FRACTION = 0.03;
/** How long a connection must be unused to be closed; it is longer than a caller takes to send the next statement of an operation. */
const MIN_IDLE_MS = 100;
const DRAIN_POLL_INTERVAL_MS = 50;
const CONCLUSION_POLL_INTERVAL_MS = 5;
const SHUTTING_DOWN = { kind: 'shuttingDown' } as const;
const ABORT_REASON = 'its reply could not be delivered before the end of the process';

/** The parts of a proxy that a shutdown ends. */
export interface StoppingProxy {
  readonly clock: Clock;
  readonly shutdown: ShutdownDeadline;
  readonly connections: CallerConnections;
  /** Number of relayed statements and transactions in flight. */
  readonly relayedCount: () => number;
  /** Closes all connections to instances; statements in flight there end with an error. */
  readonly closeInstances: () => void;
  /** Accepts no more connections of callers. */
  readonly stopAccepting: () => void;
}

/** Shuts down; resolves with the number of callers whose connections were closed without a delivered reply. */
export async function stopGracefully(proxy: StoppingProxy, graceMs: number): Promise<number> {
  const { clock, shutdown, connections } = proxy;
  const startedAt = clock.now();
  shutdown.begin(graceMs * ANSWER_FRACTION);
  await delay(clock, graceMs * SERVING_FRACTION);
  while (shutdown.remainingMs > 0) {
    // Repeated, because new connections may still arrive.
    connections.closeIdle(SHUTTING_DOWN, MIN_IDLE_MS);
    await delay(clock, Math.min(DRAIN_POLL_INTERVAL_MS, shutdown.remainingMs));
    if (isDone(proxy) && clock.now() - startedAt > graceMs * MIN_DURATION_FRACTION) break;
  }
  await conclude(proxy, graceMs * CONCLUSION_FRACTION);
  const cutOff = connections.unansweredCount;
  connections.abort(ABORT_REASON);
  return cutOff;
}

/** Whether the proxy can stop early: nothing is left, or it only refuses what arrives. */
function isDone({ shutdown, connections, relayedCount }: StoppingProxy): boolean {
  const open = shutdown.hasRefused ? connections.busyCount : connections.size;
  return open === 0 && relayedCount() === 0;
}

/** Answers all requests and asks all callers to close; takes at most twice `limitMs`. */
async function conclude(proxy: StoppingProxy, limitMs: number): Promise<void> {
  const { clock, shutdown, connections, relayedCount } = proxy;
  shutdown.expire();
  // Reads the answers that arrived while the process was stalled.
  await delay(clock, 1);
  proxy.closeInstances();
  const areAnswered = (): boolean => connections.unansweredCount === 0 && relayedCount() === 0;
  await waitUntil(clock, areAnswered, limitMs / 2);
  connections.answerNow();
  await waitUntil(clock, areAnswered, limitMs / 2);
  // Callers that connect until now are refused; those that the system has queued are closed unread.
  proxy.stopAccepting();
  connections.leave(SHUTTING_DOWN);
  await waitUntil(clock, () => connections.size === 0, limitMs);
}

async function waitUntil(clock: Clock, condition: () => boolean, limitMs: number): Promise<void> {
  const endAt = clock.now() + limitMs;
  while (!condition() && clock.now() < endAt) await delay(clock, CONCLUSION_POLL_INTERVAL_MS);
}
