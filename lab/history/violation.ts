/** What the checks of histories share. */
import type { ErrorEvent, InvokeEvent, OkEvent } from './history.js';

/** Checks, by the invariant that each belongs to. */
export type CheckName =
  | 'read-your-writes'
  | 'monotonic-reads'
  | 'durable-writes'
  | 'register-order'
  | 'not-run-is-true'
  | 'no-mixed-transactions'
  | 'answer-integrity'
  | 'at-most-once'
  | 'replaced-primary'
  | 'fresh-reads'
  | 'dirty-reads'
  | 'recovery'
  | 'drain'
  | 'graceful-stop'
  | 'configuration-order'
  | 'configuration-kept'
  | 'configuration-delay'
  | 'limits';

/** One violation. */
export interface Violation {
  readonly check: CheckName;
  readonly message: string;
}

/** An operation with how it ended. */
export interface Operation {
  readonly invoke: InvokeEvent;
  readonly ok: OkEvent | undefined;
  readonly error: ErrorEvent | undefined;
}

/** Items by key, in their order. */
export function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
