/** Orders to stop. Owns the handlers of SIGTERM and SIGINT; relies on nothing that may fail. */
import { Events } from '../observability/events.js';
import type { EventFields, EventLogger } from '../observability/logger.js';

/** Resolves at the first SIGTERM or SIGINT, after the log line that the planned stop began. */
export async function awaitStop(
  logger: EventLogger,
  /** Further fields of the line, as of when the signal arrives. */
  fields: () => EventFields = () => ({}),
): Promise<void> {
  const signal = await stopSignal();
  logger.event(Events.stopping, { signal, ...fields() });
}

/** Resolves with the name of the signal at the first SIGTERM or SIGINT. */
export function stopSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
