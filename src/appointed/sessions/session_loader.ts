/** What an instance connection must be told before it can run a statement of a session. */
import type { PooledConnection } from '../connections/pooled_connection.js';
import { type InstanceCommand, type PreparedShape, sharedName } from '../instance/statement.js';

/** What a connection must hold before a statement. */
export interface SessionContent {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared?: PreparedShape;
}

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
  const isPrepared = prepared && !isReset && pooled.preparedNames.has(sharedName(prepared));
  if (prepared && !isPrepared) steps.push({ kind: 'prepare', prepared });
  return steps;
}

/** Notes that the instance has run a step. */
export function noteLoaded(pooled: PooledConnection, step: InstanceCommand): void {
  if (step.kind === 'reset') {
    pooled.values.clear();
    pooled.preparedNames.clear();
  } else if (step.kind === 'set') {
    pooled.values.set(step.name, step.value);
  } else if (step.kind === 'prepare') {
    pooled.preparedNames.add(sharedName(step.prepared));
  }
}
