/**
 * Administrative commands to instances: state, stop and resume of receiving, end of a leadership.
 *
 * Owns no connection beyond one command, and which commands to receive again are under way: one that is sent by an earlier change
 * of primary must not end the hold of a later one. Relies on the instance, which may not answer: the result is undefined then.
 */
import {
  ConnectError,
  type InstanceAnswer,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceStatus,
  type InstanceTarget,
} from '../instance/instance_connection.js';
import type { InstanceCommand } from '../instance/statement.js';
import type { PersistentConnections } from './persistent_connections.js';

/** Time to connect, and for an answer, in milliseconds. A guess, not measured. */
const COMMAND_TIMEOUT_MS = 500;

/** Whether an instance is there, as control itself found out. */
export type ProbeResult =
  /** It answered; without a state where it was too busy to tell one. */
  | { readonly kind: 'answered'; readonly status: InstanceStatus | undefined }
  /** Nothing came from it in time. */
  | { readonly kind: 'silent' }
  /** Nobody listens at its address, or another instance does. */
  | { readonly kind: 'refused' };

/** Administrator of one control machine. Opens a connection for each command where there is no standing one. */
export class InstanceAdministrator {
  /** Commands to receive again that are under way, by instance. */
  private readonly pendingResumes = new Map<string, Promise<unknown>>();

  constructor(
    private readonly connector: InstanceConnector,
    private readonly persistentConnections: Pick<PersistentConnections, 'of'>,
  ) {}

  /** State of an instance; undefined when it does not answer. */
  status(target: InstanceTarget): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'status' });
  }

  /** Stops a replica from receiving from primaries below `term`, after any command to receive again that is under way. */
  async pause(target: InstanceTarget, term: number): Promise<InstanceStatus | undefined> {
    await this.pendingResumes.get(target.id);
    return this.run(target, { kind: 'pause', term });
  }

  /**
   * Lets a replica receive again.
   * @param isWanted - whether that is still to be: looked at before it is sent a second time
   */
  async resume(
    target: InstanceTarget,
    isStillNeeded: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    const pending = this.run(target, { kind: 'resume' }, isStillNeeded);
    this.pendingResumes.set(target.id, pending);
    try {
      return await pending;
    } finally {
      if (this.pendingResumes.get(target.id) === pending) this.pendingResumes.delete(target.id);
    }
  }

  /** Makes a primary of a term below `term` a replica. */
  stepDown(target: InstanceTarget, term: number): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'stepDown', term });
  }

  /** Whether an instance is there; an answer that it is full or busy shows that it is. */
  async probe(target: InstanceTarget, timeoutMs: number): Promise<ProbeResult> {
    try {
      const { connection } = await this.connector.connect(target, timeoutMs);
      const status = await connection
        .run({ kind: 'status' }, timeoutMs)
        .then((answer) => answer.status)
        // It answered the start of the connection, so it is there; only its state is not known.
        .catch(() => undefined);
      connection.close();
      return { kind: 'answered', status };
    } catch (error) {
      // The kind of failure is the result; whoever asked logs what follows from it.
      const failure = error instanceof ConnectError ? error.failure : 'silent';
      if (failure === 'busy' || failure === 'connectionLimit') {
        return { kind: 'answered', status: undefined };
      }
      return { kind: failure === 'silent' ? 'silent' : 'refused' };
    }
  }

  /** Runs a command on the standing connection, and on one of its own where there is none or it fails. */
  private async run(
    target: InstanceTarget,
    command: InstanceCommand,
    isStillNeeded: () => boolean = () => true,
  ): Promise<InstanceStatus | undefined> {
    const persistent = this.persistentConnections.of(target);
    const answer = persistent && (await runCommand(persistent.connection, command));
    if (persistent && answer) return statusOf(answer, persistent.openedAt);
    return this.runOnNewConnection(target, command, isStillNeeded);
  }

  private async runOnNewConnection(
    target: InstanceTarget,
    command: InstanceCommand,
    isStillNeeded: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    if (!isStillNeeded()) return undefined;
    try {
      const { connection } = await this.connector.connect(target, COMMAND_TIMEOUT_MS);
      try {
        if (!isStillNeeded()) return undefined;
        const answer = await runCommand(connection, command);
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
async function runCommand(
  connection: InstanceConnection,
  command: InstanceCommand,
): Promise<InstanceAnswer | undefined> {
  try {
    return await connection.run(command, COMMAND_TIMEOUT_MS);
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
