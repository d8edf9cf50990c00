/**
 * Sends administrative commands to instances: status, pause and resume of replication, step-down.
 *
 * A command without an answer has the result undefined. A resume sent by an earlier change of primary must not lift the fence
 * of a later one, so a pause waits for resume commands in flight to the same instance.
 *
 * A command that changes an instance is sent right after a check that no other machine leads and that the change of primary
 * still needs it. So no machine sends one after its successor has begun to lead, also if it was stopped on the way.
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

/** Timeout to connect, and for an answer. */
const COMMAND_TIMEOUT_MS = 500;

/** Result of a probe. */
export type ProbeResult =
  /** The instance answered; without a status where it was too busy to report one. */
  | { readonly kind: 'answered'; readonly status: InstanceStatus | undefined }
  /** The instance did not answer in time. */
  | { readonly kind: 'silent' }
  /** No process listens at its address, or another instance does. */
  | { readonly kind: 'refused' };

/** Administrator of one control machine. Opens a connection for a command where there is no persistent one. */
export class InstanceAdministrator {
  /** Resume commands in flight, by instance. */
  private readonly pendingResumes = new Map<string, Promise<unknown>>();

  /** @param holdsLeaderLease - whether this machine leads and no other one does */
  constructor(
    private readonly connector: InstanceConnector,
    private readonly persistentConnections: Pick<PersistentConnections, 'of'>,
    private readonly holdsLeaderLease: () => boolean,
  ) {}

  /** Status of an instance; undefined when it does not answer. */
  status(target: InstanceTarget): Promise<InstanceStatus | undefined> {
    return this.run(target, { kind: 'status' });
  }

  /**
   * Stops a replica from receiving from primaries below `term`, after any resume command in flight.
   * @param isStillNeeded - checked right before the command is sent
   */
  async pause(
    target: InstanceTarget,
    term: number,
    isStillNeeded: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    await this.pendingResumes.get(target.id);
    return this.order(target, { kind: 'pause', term }, isStillNeeded);
  }

  /**
   * Lets a replica receive again.
   * @param isStillNeeded - checked right before the command is sent
   */
  async resume(
    target: InstanceTarget,
    isStillNeeded: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    const pending = this.order(target, { kind: 'resume' }, isStillNeeded);
    this.pendingResumes.set(target.id, pending);
    try {
      return await pending;
    } finally {
      if (this.pendingResumes.get(target.id) === pending) this.pendingResumes.delete(target.id);
    }
  }

  /**
   * Makes a primary of a term below `term` step down to replica.
   * @param isStillNeeded - checked right before the command is sent
   */
  stepDown(
    target: InstanceTarget,
    term: number,
    isStillNeeded: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    return this.order(target, { kind: 'stepDown', term }, isStillNeeded);
  }

  /** Probes an instance; an answer that it is full or busy counts as an answer. */
  async probe(target: InstanceTarget, timeoutMs: number): Promise<ProbeResult> {
    try {
      const { connection } = await this.connector.connect(target, timeoutMs);
      const status = await connection
        .run({ kind: 'status' }, timeoutMs)
        .then((answer) => answer.status)
        // It accepted the connection, so it is alive; only its status is unknown.
        .catch(() => undefined);
      connection.close();
      return { kind: 'answered', status };
    } catch (error) {
      // The kind of failure is the result; the caller logs what follows from it.
      const failure = error instanceof ConnectError ? error.failure : 'silent';
      if (failure === 'busy' || failure === 'connectionLimit') {
        return { kind: 'answered', status: undefined };
      }
      return { kind: failure === 'silent' ? 'silent' : 'refused' };
    }
  }

  /** Runs a command that changes an instance, if this machine may still send it. */
  private order(
    target: InstanceTarget,
    command: InstanceCommand,
    isStillNeeded: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    return this.run(target, command, () => this.holdsLeaderLease() && isStillNeeded());
  }

  /**
   * Runs a command on the persistent connection, or on a new one where there is none or it fails.
   * @param maySend - checked right before the command is sent
   */
  private async run(
    target: InstanceTarget,
    command: InstanceCommand,
    maySend: () => boolean = () => true,
  ): Promise<InstanceStatus | undefined> {
    const persistent = this.persistentConnections.of(target);
    if (!maySend()) return undefined;
    const answer = persistent && (await runCommand(persistent.connection, command));
    if (persistent && answer) return statusOf(answer, persistent.openedAt);
    return this.runOnNewConnection(target, command, maySend);
  }

  private async runOnNewConnection(
    target: InstanceTarget,
    command: InstanceCommand,
    maySend: () => boolean,
  ): Promise<InstanceStatus | undefined> {
    if (!maySend()) return undefined;
    try {
      const { connection } = await this.connector.connect(target, COMMAND_TIMEOUT_MS);
      try {
        if (!maySend()) return undefined;
        const answer = await runCommand(connection, command);
        return answer && statusOf(answer, undefined);
      } finally {
        connection.close();
      }
    } catch {
      // An unreachable instance has no known status; callers repeat their commands and log what they conclude.
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
    // Without an answer the status is unknown, as for an unreachable instance.
    return undefined;
  }
}

function statusOf(
  { error, status }: InstanceAnswer,
  connectedSince: number | undefined,
): InstanceStatus | undefined {
  return error || !status ? undefined : { ...status, connectedSince };
}
