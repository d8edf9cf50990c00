/** Brings session values and prepared shapes onto an instance connection before a statement needs them. */
import type { InstanceAnswer } from './instance_connection.js';
import type { PooledConnection } from './instance_pool.js';
import { type InstanceCommand, type PreparedShape, sharedName } from './statement.js';

/** Runs one command on the connection. */
export type CommandRunner = (command: InstanceCommand) => Promise<InstanceAnswer>;

function needsReset(pooled: PooledConnection, values: ReadonlyMap<string, string>): boolean {
  return [...pooled.values.keys()].some((name) => !values.has(name));
}

/**
 * Loads what is missing.
 * @returns whether the connection now holds exactly `values`, and `prepared` when given
 */
export async function loadSession(
  pooled: PooledConnection,
  values: ReadonlyMap<string, string>,
  prepared: PreparedShape | undefined,
  run: CommandRunner,
): Promise<boolean> {
  if (needsReset(pooled, values)) {
    const answer = await run({ kind: 'reset' });
    if (answer.error) return false;
    pooled.values.clear();
    pooled.preparedNames.clear();
  }
  for (const [name, value] of values) {
    if (pooled.values.get(name) === value) continue;
    const answer = await run({ kind: 'set', name, value });
    if (answer.error) return false;
    pooled.values.set(name, value);
  }
  if (!prepared || pooled.preparedNames.has(sharedName(prepared))) return true;
  const answer = await run({ kind: 'prepare', prepared });
  if (answer.error) return false;
  pooled.preparedNames.add(sharedName(prepared));
  return true;
}
