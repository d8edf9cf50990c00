/**
 * Administrative commands to instances: state, stop and resume of receiving, end of a leadership.
 *
 * Owns no connection beyond one command. Relies on the instance, which may not answer: the result is undefined then.
 */
import type {
  InstanceAnswer,
  InstanceConnection,
  InstanceConnector,
  InstanceStatus,
  InstanceTarget,
} from '../instance/instance_connection.js';
import type { InstanceCommand } from '../instance/statement.js';
import type { StandingConnections } from './standing_connections.js';

/** Time to connect, and for an answer, in milliseconds. A guess, not measured. */
const TIMEOUT_MS = 500;

/** Administrator of one control machine. Opens a connection for each command where there is no standing one. */
export class InstanceAdministrator {
  constructor(
    private readonly connector: InstanceConnector,
    private readonly standing: Pick<StandingConnections, 'of'>,
  ) {}

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

  /** Runs a command on the standing connection, and on one of its own where there is none or it fails. */
  private async run(
    target: InstanceTarget,
    command: InstanceCommand,
  ): Promise<InstanceStatus | undefined> {
    const standing = this.standing.of(target);
    const answer = standing && (await exchange(standing.connection, command));
    if (standing && answer) return statusOf(answer, standing.openedAt);
    return this.runAnew(target, command);
  }

  private async runAnew(
    target: InstanceTarget,
    command: InstanceCommand,
  ): Promise<InstanceStatus | undefined> {
    try {
      const { connection } = await this.connector.connect(target, TIMEOUT_MS);
      try {
        const answer = await exchange(connection, command);
        return answer && statusOf(answer, undefined);
      } finally {
        connection.close();
      }
    } catch {
      // An instance that can't be reached has no known state. Callers repeat their commands and log what they conclude.
      return undefined;
    }
  }
}

/** Answer to a command; undefined when there is none. */
async function exchange(
  connection: InstanceConnection,
  command: InstanceCommand,
): Promise<InstanceAnswer | undefined> {
  try {
    return await connection.run(command, TIMEOUT_MS);
  } catch {
    // No answer is no known state, as for an instance that can't be reached.
    return undefined;
  }
}

function statusOf(
  { error, status }: InstanceAnswer,
  connectedSince: number | undefined,
): InstanceStatus | undefined {
  return error || !status ? undefined : { ...status, connectedSince };
}
