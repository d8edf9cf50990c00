/** Computes the commands that load a session's values and prepared statement onto an instance connection. */
import type { PooledConnection } from '../connections/pooled_connection.js';
import {
  type InstanceCommand,
  type PreparedShape,
  sharedPreparedName,
} from '../instance/statement.js';

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

/** Commands that load the content onto the connection, in the order in which they must run. */
export function loadingCommands(
  pooled: PooledConnection,
  content: SessionContent,
): InstanceCommand[] {
  const commands: InstanceCommand[] = [];
  const isReset = needsReset(pooled, content.values);
  if (isReset) commands.push({ kind: 'reset' });
  for (const [name, value] of content.values) {
    const isLoaded = !isReset && pooled.values.get(name) === value;
    if (!isLoaded) commands.push({ kind: 'set', name, value });
  }
  const { prepared } = content;
  const isPrepared = prepared && !isReset && pooled.preparedNames.has(sharedPreparedName(prepared));
  if (prepared && !isPrepared) commands.push({ kind: 'prepare', prepared });
  return commands;
}

/** Records on the connection that a loading command has succeeded. */
export function recordLoaded(pooled: PooledConnection, command: InstanceCommand): void {
  if (command.kind === 'reset') {
    pooled.values.clear();
    pooled.preparedNames.clear();
  } else if (command.kind === 'set') {
    pooled.values.set(command.name, command.value);
  } else if (command.kind === 'prepare') {
    pooled.preparedNames.add(sharedPreparedName(command.prepared));
  }
}
