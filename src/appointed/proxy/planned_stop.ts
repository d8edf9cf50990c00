/**
 * Planned stop of a proxy. First it says that it is not ready and goes on serving, until new callers go
 * elsewhere; then connections close as soon as nothing is under way on them; at last the rest ends.
 */
import { type Clock, delay } from '../../runtime/runtime.js';
import type { SessionListener } from '../sessions/session_listener.js';

/** Parts of the grace period. */
const SERVE_SHARE = 0.4;
const DRAIN_SHARE = 0.85;
const POLL_MS = 50;

/** Stops; resolves with the number of callers that were cut off. */
export async function stopAsPlanned(
  clock: Clock,
  listener: SessionListener,
  graceMs: number,
  /** Work for other proxies that is under way. */
  relayedCount: () => number,
): Promise<number> {
  const begunAt = clock.now();
  await delay(clock, graceMs * SERVE_SHARE);
  while (clock.now() - begunAt < graceMs * DRAIN_SHARE) {
    // New connections may still arrive, so draining is repeated.
    listener.drain();
    await delay(clock, POLL_MS);
    const isDone = listener.connectionCount === 0 && relayedCount() === 0;
    if (isDone && clock.now() - begunAt > graceMs * (SERVE_SHARE + 0.1)) break;
  }
  const cutOff = listener.busyCount;
  listener.close();
  return cutOff;
}
