/** Waits for the signals that request a graceful shutdown. */
import { Events } from '../observability/events.js';
import type { EventFields, EventLogger } from '../observability/logger.js';

/** Resolves at the first SIGTERM or SIGINT, after logging the start of the graceful shutdown. */
export async function awaitStop(
  logger: EventLogger,
  /** Additional fields of the log line, evaluated when the signal arrives. */
  fields: () => EventFields = () => ({}),
  /** A signal that is awaited already. */
  signal = stopSignal(),
): Promise<void> {
  logger.event(Events.stopping, { signal: await signal, ...fields() });
}

/**
 * Resolves with the name of the signal at the first SIGTERM or SIGINT. Further SIGTERMs must not cut the graceful shutdown
 * short; a second SIGINT ends the process.
 */
export function stopSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
