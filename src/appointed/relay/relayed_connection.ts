/**
 * A connection to an instance at another proxy, a connection owner of the instance, which runs the commands. It holds nothing
 * until its first command; a transaction then keeps one connection of that owner until its end.
 *
 * Owns the values of its session, which travel with each command, and the name of the connection that the owner keeps.
 *
 * Relies on the messenger and on owners, both of which may fail: the next owner is tried only where nothing was sent;
 * otherwise the error says that the command may have run.
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

/** What a relayed connection is for, and the owners that may run its statements. */
export interface RelayedRoute {
  /** Identifier of the instance. */
  readonly instance: string;
  /** Number of its incarnation. */
  readonly incarnation: number;
  /** Undefined for statements of the system itself. */
  readonly tenant: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time within which an answer meets the caller's objective, in milliseconds; no limit when left out. */
  readonly objectiveMs: number | undefined;
  /** Longest wait for a connection at an owner, in milliseconds. */
  readonly waitMs: number;
  /** Connection owners in the order in which they are tried. */
  readonly owners: readonly string[];
  /** Regions to which its statements are bound, which owners check too; undefined where they are bound to none. */
  readonly allowedRegions?: AllowedRegions;
}

/** What all relayed connections of a process use. */
export interface RelayDependencies {
  readonly messenger: Messenger;
  readonly health: OwnerHealth;
}

/** Reply of one owner, or why there is none. */
type OwnerReply =
  { readonly reply: whinyoke.IRelayReply } | { readonly unreachable: OwnerUnreachableError };

/** Time for a request and its reply on the way, in milliseconds. Guess, not measured. */
const NETWORK_DELAY_MS = 40;
/** Sent where a statement has no objective, in milliseconds: longer than any statement waits. */
const MAX_OBJECTIVE_MS = 600_000;
const ACKNOWLEDGED: InstanceAnswer = { rows: [], signature: '-', state: 'idle' };

/** One connection. */
export class RelayedConnection implements InstanceConnection {
  /** Called once when the connection ends. */
  onClosed: (() => void) | undefined;
  private readonly values = new Map<string, string>();
  private state: InstanceAnswer['state'] = 'idle';
  /** Owner that keeps a connection for this one, and the name of that connection. */
  private pinned: { readonly owner: string; readonly connection: string } | undefined;
  private isClosed = false;
  private resolveClosed: () => void = () => undefined;
  /** Resolves when the connection is closed here, so that a command that waits for its answer ends at once. */
  private readonly closedReply = new Promise<OwnerReply>((resolve) => {
    const cause = 'the connection was closed meanwhile';
    this.resolveClosed = () => resolve({ reply: { outcome: RelayOutcome.LOST, cause } });
  });

  constructor(
    private readonly route: RelayedRoute,
    private readonly dependencies: RelayDependencies,
  ) {}

  /** Whether the connection has ended. */
  get closed(): boolean {
    return this.isClosed;
  }

  /** Owner that keeps a connection for this one; undefined where none does. */
  get pinnedOwner(): string | undefined {
    return this.pinned?.owner;
  }

  /** Runs one command at an owner; session values and prepared shapes travel with the next statement. */
  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer> {
    if (this.isClosed) {
      const error = new BackendConnectionLostError('connection is closed', { sent: false });
      return Promise.reject(error);
    }
    switch (command.kind) {
      case 'set':
        this.values.set(command.name, command.value);
        return this.acknowledge();
      case 'reset':
        this.values.clear();
        return this.acknowledge();
      // A prepared shape travels with each statement that executes it.
      case 'prepare':
        return this.acknowledge();
      case 'begin':
      case 'commit':
      case 'rollback':
      case 'data':
      case 'status':
        return this.hasTimeLeft(timeoutMs) ? this.send(command, timeoutMs) : this.rejectExpired();
      default:
        return Promise.reject(new RangeError(`${command.kind} can't be relayed`));
    }
  }

  /** Ends the connection at once, also the one that an owner keeps for it. */
  close(): void {
    if (this.isClosed) return;
    const { pinned } = this;
    this.end();
    if (pinned) this.closeAtOwner(pinned.owner, pinned.connection);
  }

  /** Asks an owner to end a connection that it keeps for this one. */
  private closeAtOwner(owner: string, connection: string): void {
    const relayRequest = { connection, closes: true };
    // Nothing is lost where that fails: the owner ends a connection by itself that is not used for a while (RelayServer).
    this.dependencies.messenger
      .request(owner, { relayRequest }, NETWORK_DELAY_MS)
      .catch(() => undefined);
  }

  private hasTimeLeft(timeoutMs: number): boolean {
    return timeoutMs > 0 && this.route.waitMs >= 0;
  }

  /** A command without time left is not sent: its caller would have given it up before an owner answered. */
  private rejectExpired(): Promise<never> {
    return this.fail(new BackendConnectionLostError('no time is left', { sent: false }));
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

  /** Tries one owner after the other until one has sent the command, or refuses it for want of a connection. */
  private async send(command: RelayedCommand, timeoutMs: number): Promise<InstanceAnswer> {
    const owners = this.pinned ? [this.pinned.owner] : this.route.owners;
    let unreachable = new OwnerUnreachableError('no home can be reached', { sent: false });
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
      const cause = relayReply?.cause ?? 'it relays nothing';
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
    const answer = decodeRelayAnswer(reply.answer ?? {});
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
