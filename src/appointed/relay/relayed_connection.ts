/**
 * A connection to an instance at another proxy. It holds nothing until its first command; a transaction then keeps one
 * connection of that proxy until its end.
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
import type { Messenger } from '../../runtime/runtime.js';
import type { OwnerHealth } from './owner_health.js';
import { type RelayedCommand, decodeRelayAnswer, encodeRelayCommand } from './relay_codec.js';

const { RelayOutcome } = whinyoke;

/** Whose statements a connection carries, and through whom. */
export interface RelayedRoute {
  readonly instance: string;
  /** Undefined for statements of the system itself. */
  readonly tenant: string | undefined;
  readonly priority: number;
  /** Time within which an answer meets the caller's objective, in milliseconds; no limit when left out. */
  readonly usefulMs: number | undefined;
  /** Longest wait for a connection at a home, in milliseconds. */
  readonly waitMs: number;
  /** Homes in the order in which they are tried. */
  readonly homes: readonly string[];
}

/** What the connections of a process share. */
export interface RelaySurroundings {
  readonly messenger: Messenger;
  readonly health: OwnerHealth;
}

/** What one home said, or why it said nothing. */
type HomeReply =
  { readonly reply: whinyoke.IRelayReply } | { readonly unreachable: OwnerUnreachableError };

/** Time for a request and its reply on the way, in milliseconds. */
const TRAVEL_MS = 40;
/** Told where a statement has no objective, in milliseconds. */
const LONGEST_USEFUL_MS = 600_000;
const ACKNOWLEDGED: InstanceAnswer = { rows: [], signature: '-', state: 'idle' };

/** One connection. */
export class RelayedConnection implements InstanceConnection {
  onClosed: (() => void) | undefined;
  private readonly values = new Map<string, string>();
  private state: InstanceAnswer['state'] = 'idle';
  /** Home that keeps a connection, and the name of that. */
  private kept: { readonly home: string; readonly connection: string } | undefined;
  private isClosed = false;
  private noteClosed: () => void = () => undefined;
  /** Resolves when the connection is closed here: whoever waits for an answer on it is told at once. */
  private readonly closing = new Promise<HomeReply>((resolve) => {
    const cause = 'the connection was closed meanwhile';
    this.noteClosed = () => resolve({ reply: { outcome: RelayOutcome.LOST, cause } });
  });

  constructor(
    private readonly route: RelayedRoute,
    private readonly surroundings: RelaySurroundings,
  ) {}

  get closed(): boolean {
    return this.isClosed;
  }

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
        return this.hasTime(timeoutMs) ? this.send(command, timeoutMs) : this.refuseLate();
      default:
        return Promise.reject(new RangeError(`${command.kind} can't be relayed`));
    }
  }

  close(): void {
    if (this.isClosed) return;
    const { kept } = this;
    this.end();
    if (kept) this.giveUp(kept.home, kept.connection);
  }

  /** Tells a home that a connection is not needed; one that doesn't hear of it ends the connection after a while. */
  private giveUp(home: string, connection: string): void {
    const relayRequest = { connection, closes: true };
    this.surroundings.messenger.request(home, { relayRequest }, TRAVEL_MS).catch(() => undefined);
  }

  private hasTime(timeoutMs: number): boolean {
    return timeoutMs > 0 && this.route.waitMs >= 0;
  }

  /** A command without time left is not sent: whoever asked has given it up when a home would answer. */
  private refuseLate(): Promise<never> {
    return this.fail(new BackendConnectionLostError('no time is left', { sent: false }));
  }

  private acknowledge(): Promise<InstanceAnswer> {
    return Promise.resolve({ ...ACKNOWLEDGED, state: this.state });
  }

  private end(): void {
    this.isClosed = true;
    this.kept = undefined;
    this.noteClosed();
    this.onClosed?.();
  }

  /** Tries one home after the other until one has sent the command, or refuses it for want of a connection. */
  private async send(command: RelayedCommand, timeoutMs: number): Promise<InstanceAnswer> {
    const homes = this.kept ? [this.kept.home] : this.route.homes;
    let unreachable = new OwnerUnreachableError('no home can be reached', { sent: false });
    for (const home of homes) {
      const reply = await Promise.race([this.exchange(home, command, timeoutMs), this.closing]);
      if ('reply' in reply) return this.judge(home, reply.reply);
      ({ unreachable } = reply);
      if (unreachable.sent) break;
    }
    return this.fail(unreachable);
  }

  /** Reply of one home, or why there is none. */
  private async exchange(
    home: string,
    command: RelayedCommand,
    timeoutMs: number,
  ): Promise<HomeReply> {
    const { messenger, health } = this.surroundings;
    const relayRequest = this.requestFor(command, timeoutMs);
    const longestMs = this.route.waitMs + timeoutMs + TRAVEL_MS;
    try {
      const { relayReply } = await messenger.request(home, { relayRequest }, longestMs);
      const isServed = relayReply && relayReply.outcome !== RelayOutcome.NOT_HOME;
      if (isServed) {
        health.noteAnswer(home);
        if (this.isClosed && relayReply.connection) this.giveUp(home, relayReply.connection);
        return { reply: relayReply };
      }
      health.noteFailure(home);
      const cause = relayReply?.cause ?? 'it relays nothing';
      return { unreachable: new OwnerUnreachableError(`${home}: ${cause}`, { sent: false }) };
    } catch (error) {
      health.noteFailure(home);
      const sent = !(error instanceof PeerUnreachableError) || error.sent;
      return { unreachable: new OwnerUnreachableError(messageOf(error), { sent }) };
    }
  }

  private requestFor(command: RelayedCommand, timeoutMs: number): whinyoke.IRelayRequest {
    const { instance, tenant, priority, waitMs, usefulMs = LONGEST_USEFUL_MS } = this.route;
    return {
      instance,
      tenant,
      anyTenant: tenant === undefined,
      priority,
      waitMs: Math.ceil(waitMs),
      timeoutMs: Math.ceil(timeoutMs),
      usefulMs: Math.ceil(Math.min(LONGEST_USEFUL_MS, Math.max(0, usefulMs))),
      connection: this.kept?.connection,
      values: [...this.values].map(([name, value]) => ({ name, value })),
      command: encodeRelayCommand(command),
    };
  }

  private judge(home: string, reply: whinyoke.IRelayReply): Promise<InstanceAnswer> {
    const cause = reply.cause ?? '';
    if (reply.outcome !== RelayOutcome.ANSWERED) {
      const sent = reply.outcome === RelayOutcome.LOST;
      return this.fail(new BackendConnectionLostError(cause, { sent }));
    }
    const answer = decodeRelayAnswer(reply.answer ?? {});
    this.state = answer.state;
    const connection = reply.connection ?? '';
    this.kept = connection === '' ? undefined : { home, connection };
    return Promise.resolve(answer);
  }

  private fail(error: BackendConnectionLostError): Promise<never> {
    if (!this.isClosed) this.end();
    return Promise.reject(error);
  }
}
