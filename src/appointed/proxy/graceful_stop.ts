/**
 * Graceful shutdown of a proxy. In the first part of the grace period the proxy reports that it is not ready and keeps
 * serving, until new callers use other proxies. Then connections are closed as soon as nothing is in flight on them. At the
 * end the remaining connections are closed, busy or not.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import type { SessionListener } from '../sessions/session_listener.js';

/** Fraction of the grace period after which idle connections are closed. */
const SERVING_FRACTION = 0.4;
/** Fraction of the grace period after which all connections are closed. */
const DRAIN_FRACTION = 0.85;
/** Fraction of the grace period before which an idle proxy does not stop, because new callers may still connect. */
const MIN_DURATION_FRACTION = SERVING_FRACTION + 0.1;
const DRAIN_POLL_INTERVAL_MS = 50;

/** Shuts down; resolves with the number of busy callers that were disconnected. */
export async function stopGracefully(
  clock: Clock,
  listener: SessionListener,
  graceMs: number,
  /** Number of relayed statements and transactions in flight. */
  relayedCount: () => number,
): Promise<number> {
  const startedAt = clock.now();
  await delay(clock, graceMs * SERVING_FRACTION);
  while (clock.now() - startedAt < graceMs * DRAIN_FRACTION) {
    // Repeated, because new connections may still arrive.
    listener.drain();
    await delay(clock, DRAIN_POLL_INTERVAL_MS);
    const isDone = listener.connectionCount === 0 && relayedCount() === 0;
    if (isDone && clock.now() - startedAt > graceMs * MIN_DURATION_FRACTION) break;
  }
  const cutOff = listener.busyCount;
  listener.close('the time for a graceful shutdown is over');
  return cutOff;
}
