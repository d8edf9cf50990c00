/**
 * Connection to an instance through another proxy, a connection owner of the instance, which runs
 * the commands. Session values are sent along with each command. A transaction pins one connection
 * of its owner until it ends.
 *
 * The next owner is tried only if nothing was sent to the previous one; otherwise the error says
 * that the command may have run, so that no statement runs twice.
 */
import {
  BackendConnectionLostError,
  OwnerUnreachableError,
  PeerUnreachableError,
  messageOf,
} from '../../errors/errors.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { InstanceAnswer, InstanceConnection } from '../instance/instance_connection.js';
import type { InstanceCommand } from '../instance/statement.js';
import type { AllowedRegions } from '../placement/data_residency.js';
import type { Messenger } from '../../runtime/runtime.js';
import type { OwnerHealth } from './owner_health.js';
import { type RelayedCommand, decodeRelayAnswer, encodeRelayCommand } from './relay_codec.js';

const { RelayOutcome } = whinyoke;

/**
 * Instance and request that a relayed connection serves, and the owners that may run its
 * statements.
 */
export interface RelayedRoute {
  readonly instance: string;
  /** Number of the incarnation of the instance. */
  readonly incarnation: number;
  /** Undefined for internal statements. */
  readonly tenant: string | undefined;
  /** 0 is the highest. */
  readonly priority: number;
  /** Time within which an answer meets the caller's latency objective; undefined if unlimited. */
  readonly objectiveMs: number | undefined;
  /** Maximum wait for a connection at an owner. */
  readonly waitMs: number;
  /** Connection owners in the order in which they are tried. */
  readonly owners: readonly string[];
  /**
   * Regions that its statements are restricted to, which owners check too; undefined if
   * unrestricted.
   */
  readonly allowedRegions?: AllowedRegions;
}

/** Dependencies that all relayed connections of a process share. */
export interface RelayDependencies {
  readonly messenger: Messenger;
  readonly health: OwnerHealth;
}

/** Reply of an owner, or the error if it could not be reached. */
type OwnerReply =
  { readonly reply: whinyoke.IRelayReply } | { readonly unreachable: OwnerUnreachableError };

/** Time allowed for the transfer of a request and its reply. */
const NETWORK_DELAY_MS = 40;
/** Sent for statements without a latency objective; longer than any statement waits. */
const MAX_OBJECTIVE_MS = 600_000;
const ACKNOWLEDGED: InstanceAnswer = { rows: [], signature: '-', state: 'idle' };

export class RelayedConnection implements InstanceConnection {
  /** Called once when the connection ends. */
  onClosed: (() => void) | undefined;
  private readonly values = new Map<string, string>();
  private state: InstanceAnswer['state'] = 'idle';
  /** Owner that pinned a connection for this one, and the identifier of that connection. */
  private pinned: { readonly owner: string; readonly connection: string } | undefined;
  private isClosed = false;
  private resolveClosed: () => void = () => undefined;
  /** Resolves when this side closes the connection, so that a command in flight ends at once. */
  private readonly closedReply = new Promise<OwnerReply>((resolve) => {
    const cause = 'the relayed connection was closed while the command was in flight';
    this.resolveClosed = () => resolve({ reply: { outcome: RelayOutcome.LOST, cause } });
  });

  constructor(
    private readonly route: RelayedRoute,
    private readonly dependencies: RelayDependencies,
  ) {}

  get closed(): boolean {
    return this.isClosed;
  }

  /** Owner that pinned a connection for this one; undefined if there is none. */
  get pinnedOwner(): string | undefined {
    return this.pinned?.owner;
  }

  /**
   * Runs one command at an owner. Session values and prepared statements are sent along with the
   * next statement.
   */
  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer> {
    if (this.isClosed) {
      const error = new BackendConnectionLostError('relayed connection is closed', { sent: false });
      return Promise.reject(error);
    }
    switch (command.kind) {
      case 'set':
        this.values.set(command.name, command.value);
        return this.acknowledge();
      case 'reset':
        this.values.clear();
        return this.acknowledge();
      // The prepared statement is sent along with each execution.
      case 'prepare':
      case 'deallocate':
        return this.acknowledge();
      case 'begin':
      case 'commit':
      case 'rollback':
      case 'data':
      case 'status':
        return this.hasTimeLeft(timeoutMs) ? this.send(command, timeoutMs) : this.rejectExpired();
      default:
        return Promise.reject(new RangeError(`command ${command.kind} cannot be relayed`));
    }
  }

  /** Closes the connection at once, and the pinned one at its owner. */
  close(): void {
    if (this.isClosed) return;
    const { pinned } = this;
    this.end();
    if (pinned) this.closeAtOwner(pinned.owner, pinned.connection);
  }

  /** Asks an owner to close a connection that it pinned for this one. */
  private closeAtOwner(owner: string, connection: string): void {
    const relayRequest = { connection, closes: true };
    // A failure is harmless: the owner closes idle pinned connections itself (see RelayServer).
    this.dependencies.messenger
      .request(owner, { relayRequest }, NETWORK_DELAY_MS)
      .catch(() => undefined);
  }

  private hasTimeLeft(timeoutMs: number): boolean {
    return timeoutMs > 0 && this.route.waitMs >= 0;
  }

  /** Fails a command whose deadline has passed without sending it. */
  private rejectExpired(): Promise<never> {
    return this.fail(
      new BackendConnectionLostError(
        'deadline passed before the command was sent to a connection owner',
        { sent: false },
      ),
    );
  }

  private acknowledge(): Promise<InstanceAnswer> {
    return Promise.resolve({ ...ACKNOWLEDGED, state: this.state });
  }

  private end(): void {
    this.isClosed = true;
    this.pinned = undefined;
    this.resolveClosed();
    this.onClosed?.();
  }

  /**
   * Tries the owners in order until one has sent the command, or refuses it for lack of a
   * connection.
   */
  private async send(command: RelayedCommand, timeoutMs: number): Promise<InstanceAnswer> {
    const owners = this.pinned ? [this.pinned.owner] : this.route.owners;
    let unreachable = new OwnerUnreachableError('no connection owner can be reached', {
      sent: false,
    });
    for (const owner of owners) {
      const reply = await Promise.race([
        this.exchange(owner, command, timeoutMs),
        this.closedReply,
      ]);
      if ('reply' in reply) return this.applyReply(owner, reply.reply);
      ({ unreachable } = reply);
      if (unreachable.sent) break;
    }
    return this.fail(unreachable);
  }

  private async exchange(
    owner: string,
    command: RelayedCommand,
    timeoutMs: number,
  ): Promise<OwnerReply> {
    const { messenger, health } = this.dependencies;
    const relayRequest = this.requestFor(command, timeoutMs);
    const requestTimeoutMs = this.route.waitMs + timeoutMs + NETWORK_DELAY_MS;
    try {
      const { relayReply } = await messenger.request(owner, { relayRequest }, requestTimeoutMs);
      const isServed = relayReply && relayReply.outcome !== RelayOutcome.NOT_HOME;
      if (isServed) {
        health.recordAnswer(owner);
        if (this.isClosed && relayReply.connection) this.closeAtOwner(owner, relayReply.connection);
        return { reply: relayReply };
      }
      health.recordFailure(owner);
      const cause = relayReply?.cause ?? 'the reply holds no relay reply';
      return { unreachable: new OwnerUnreachableError(`${owner}: ${cause}`, { sent: false }) };
    } catch (error) {
      health.recordFailure(owner);
      const sent = !(error instanceof PeerUnreachableError) || error.sent;
      return { unreachable: new OwnerUnreachableError(messageOf(error), { sent }) };
    }
  }

  private requestFor(command: RelayedCommand, timeoutMs: number): whinyoke.IRelayRequest {
    const { instance, incarnation, tenant, priority, waitMs, allowedRegions } = this.route;
    const { objectiveMs = MAX_OBJECTIVE_MS } = this.route;
    return {
      instance,
      instanceIncarnation: incarnation,
      tenant,
      anyTenant: tenant === undefined,
      priority,
      waitMs: Math.ceil(waitMs),
      timeoutMs: Math.ceil(timeoutMs),
      usefulMs: Math.ceil(Math.min(MAX_OBJECTIVE_MS, Math.max(0, objectiveMs))),
      connection: this.pinned?.connection,
      values: [...this.values].map(([name, value]) => ({ name, value })),
      command: encodeRelayCommand(command),
      homes: allowedRegions && { regions: [...allowedRegions] },
    };
  }

  private applyReply(owner: string, reply: whinyoke.IRelayReply): Promise<InstanceAnswer> {
    const cause = reply.cause ?? '';
    if (reply.outcome !== RelayOutcome.ANSWERED) {
      const sent = reply.outcome === RelayOutcome.LOST;
      return this.fail(new BackendConnectionLostError(cause, { sent }));
    }
    if (!reply.answer) {
      const problem = 'the reply of the owner holds no answer';
      return this.fail(new BackendConnectionLostError(problem, { sent: true }));
    }
    const answer = decodeRelayAnswer(reply.answer);
    this.state = answer.state;
    const connection = reply.connection ?? '';
    this.pinned = connection === '' ? undefined : { owner, connection };
    return Promise.resolve(answer);
  }

  private fail(error: BackendConnectionLostError): Promise<never> {
    if (!this.isClosed) this.end();
    return Promise.reject(error);
  }
}
