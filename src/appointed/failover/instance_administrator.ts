/**
 * Administrative commands to instances: state, stop and resume of receiving, end of a leadership.
 *
 * Owns no connection beyond one command. Relies on the instance, which may not answer: the result is undefined then.
 */
import type { InstanceEntry } from '../catalog/catalog.js';
import type {
  InstanceConnector,
  InstanceStatus,
  InstanceTarget,
} from '../instance/instance_connection.js';
import type { InstanceCommand } from '../instance/statement.js';

/** Time to connect, and for an answer, in milliseconds. A guess, not measured. */
const TIMEOUT_MS = 500;

/** Connection target of an instance. */
export function targetOf(instance: InstanceEntry): InstanceTarget {
  return {
    id: instance.id ?? '',
    group: instance.group ?? '',
    address: instance.address ?? '',
  };
}

/** Administrator of one control machine. Opens a connection for each command. */
export class InstanceAdministrator {
  constructor(private readonly connector: InstanceConnector) {}

  /** State of an instance; undefined when it does not answer. */
  status(target: InstanceTarget): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'status' });
  }

  /** Stops a replica from receiving from primaries below `term`. */
  pause(target: InstanceTarget, term: number): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'pause', term });
  }

  /** Lets a replica receive again. */
  resume(target: InstanceTarget): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'resume' });
  }

  /** Makes a primary of a term below `term` a replica. */
  stepDown(target: InstanceTarget, term: number): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'stepDown', term });
  }

  private async run(
    target: InstanceTarget,
    command: InstanceCommand,
  ): Promise<InstanceStatus | undefined> {
    try {
      const { connection } = await this.connector.connect(target, TIMEOUT_MS);
      try {
        const answer = await connection.run(command, TIMEOUT_MS);
        return answer.error ? undefined : answer.status;
      } finally {
        connection.close();
      }
    } catch {
      // An instance that can't be reached has no known state. Callers repeat their commands and log what they conclude.
      return undefined;
    }
  }
}
