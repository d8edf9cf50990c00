/**
 * DECISION: when a proxy that is stopped closes the connections of its callers. Owns nothing; relies on callers, some of which may still be busy at the end.
 *
 * Answers: a proxy is stopped while callers use it.
 * Inputs: time between the order to stop and the end (ms), open connections, work for other proxies.
 * Rule: first it reports that it is not ready and goes on serving, until new callers go elsewhere; then connections close as
 * soon as nothing is under way on them; at last the rest ends.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import type { SessionListener } from '../sessions/session_listener.js';

/** Fraction of the grace period after which connections begin to close. Guess, not measured. */
const SERVING_FRACTION = 0.4;
/** Fraction of the grace period after which the rest is closed, busy or not. Guess, not measured. */
const DRAIN_FRACTION = 0.85;
/**
 * Fraction of the grace period before which a proxy without any work does not end: callers may still come. Guess, not
 * measured.
 */
const MIN_DURATION_FRACTION = SERVING_FRACTION + 0.1;
/** Time between two looks for connections that can close, in milliseconds. Guess, not measured. */
const DRAIN_POLL_INTERVAL_MS = 50;

/** Stops; resolves with the number of callers that were cut off. */
export async function stopGracefully(
  clock: Clock,
  listener: SessionListener,
  graceMs: number,
  /** Number of statements and transactions of other proxies that are under way. */
  relayedCount: () => number,
): Promise<number> {
  const startedAt = clock.now();
  await delay(clock, graceMs * SERVING_FRACTION);
  while (clock.now() - startedAt < graceMs * DRAIN_FRACTION) {
    // New connections may still arrive, so draining is repeated.
    listener.drain();
    await delay(clock, DRAIN_POLL_INTERVAL_MS);
    const isDone = listener.connectionCount === 0 && relayedCount() === 0;
    if (isDone && clock.now() - startedAt > graceMs * MIN_DURATION_FRACTION) break;
  }
  const cutOff = listener.busyCount;
  listener.close();
  return cutOff;
}
