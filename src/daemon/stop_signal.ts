/** Orders to stop. */

/** Resolves at the first SIGTERM or SIGINT. */
export function stopSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
