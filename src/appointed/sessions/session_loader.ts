/**
 * Which commands bring a session's values and prepared statement onto an instance connection.
 *
 * Owns nothing: what a connection has loaded is kept by the connection (`PooledConnection`).
 * Relies on nothing: pure, but for `recordLoaded`, which changes that record.
 */
import type { PooledConnection } from '../connections/pooled_connection.js';
import {
  type InstanceCommand,
  type PreparedShape,
  sharedPreparedName,
} from '../instance/statement.js';

/** What a connection must hold before a statement. */
export interface SessionContent {
  /** The session's values by name. */
  readonly values: ReadonlyMap<string, string>;
  /** The prepared statement that is to run; undefined for any other statement. */
  readonly prepared?: PreparedShape;
}

/** Whether the connection holds a value that the session does not have; only a reset drops it. */
function needsReset(pooled: PooledConnection, values: ReadonlyMap<string, string>): boolean {
  return [...pooled.values.keys()].some((name) => !values.has(name));
}

/** Commands that bring the content onto the connection, in their order. */
export function loadingSteps(pooled: PooledConnection, content: SessionContent): InstanceCommand[] {
  const steps: InstanceCommand[] = [];
  const isReset = needsReset(pooled, content.values);
  if (isReset) steps.push({ kind: 'reset' });
  for (const [name, value] of content.values) {
    const isLoaded = !isReset && pooled.values.get(name) === value;
    if (!isLoaded) steps.push({ kind: 'set', name, value });
  }
  const { prepared } = content;
  const isPrepared = prepared && !isReset && pooled.preparedNames.has(sharedPreparedName(prepared));
  if (prepared && !isPrepared) steps.push({ kind: 'prepare', prepared });
  return steps;
}

/** Records on the connection that its instance has run a step. */
export function recordLoaded(pooled: PooledConnection, step: InstanceCommand): void {
  if (step.kind === 'reset') {
    pooled.values.clear();
    pooled.preparedNames.clear();
  } else if (step.kind === 'set') {
    pooled.values.set(step.name, step.value);
  } else if (step.kind === 'prepare') {
    pooled.preparedNames.add(sharedPreparedName(step.prepared));
  }
}
