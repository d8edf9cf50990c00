/** Computes the commands that load a session's values and prepared statement onto an instance connection. */
import type { PooledConnection } from '../connections/pooled_connection.js';
import {
  type InstanceCommand,
  type PreparedShape,
  sharedPreparedName,
} from '../instance/statement.js';

/** Maximum number of statements that stay prepared on one connection. */
const MAXIMUM_PREPARED_SHAPES = 256;

/** Session state that a connection needs before it runs a statement. */
export interface SessionContent {
  /** The session's values by name. */
  readonly values: ReadonlyMap<string, string>;
  /** The prepared statement to run; undefined for any other statement. */
  readonly prepared?: PreparedShape;
}

/** Whether the connection has a value that the session does not have; only a reset removes it. */
function needsReset(pooled: PooledConnection, values: ReadonlyMap<string, string>): boolean {
  return [...pooled.values.keys()].some((name) => !values.has(name));
}

/** Commands that load a session onto a connection. */
export interface LoadingCommands {
  /** In the order in which they must run, and must have succeeded before the statement is sent. */
  readonly values: readonly InstanceCommand[];
  /**
   * Prepares the statement, in the order in which they must run. They may be sent together with it: without them the instance
   * knows no such name and does not run it.
   */
  readonly prepared: readonly InstanceCommand[];
}

/** Commands that load the content onto the connection. */
export function loadingCommands(
  pooled: PooledConnection,
  content: SessionContent,
): LoadingCommands {
  const values: InstanceCommand[] = [];
  const isReset = needsReset(pooled, content.values);
  if (isReset) values.push({ kind: 'reset' });
  for (const [name, value] of content.values) {
    const isLoaded = !isReset && pooled.values.get(name) === value;
    if (!isLoaded) values.push({ kind: 'set', name, value });
  }
  return { values, prepared: preparingCommands(pooled, content.prepared, isReset) };
}

/** Prepares a shape; beyond the maximum number of names, the ones prepared first are removed. */
function preparingCommands(
  { preparedShapes }: PooledConnection,
  prepared: PreparedShape | undefined,
  isReset: boolean,
): InstanceCommand[] {
  if (!prepared) return [];
  if (isReset) return [{ kind: 'prepare', prepared }];
  if (preparedShapes.has(sharedPreparedName(prepared))) return [];
  // More than one if the instance refused to remove one before.
  const excess = Math.max(preparedShapes.size + 1 - MAXIMUM_PREPARED_SHAPES, 0);
  const oldest = excess > 0 ? [...preparedShapes.values()].slice(0, excess) : [];
  const removals = oldest.map((shape) => ({ kind: 'deallocate', prepared: shape }) as const);
  return [...removals, { kind: 'prepare', prepared }];
}

/** Records on the connection that a loading command has succeeded. */
export function recordLoaded(pooled: PooledConnection, command: InstanceCommand): void {
  const { values, preparedShapes } = pooled;
  switch (command.kind) {
    case 'reset':
      values.clear();
      preparedShapes.clear();
      return;
    case 'set':
      values.set(command.name, command.value);
      return;
    case 'prepare':
      preparedShapes.set(sharedPreparedName(command.prepared), command.prepared);
      return;
    case 'deallocate':
      preparedShapes.delete(sharedPreparedName(command.prepared));
  }
}
