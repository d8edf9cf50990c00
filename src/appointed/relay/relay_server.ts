/**
 * Runs the statements of other proxies on the connections of this proxy, which is a connection
 * owner of the instance. The reply says whether the statement ran, did not run, or may have run.
 * Connections pinned by transactions of other proxies are closed when they have been idle for too
 * long, since the other proxy may have crashed.
 *
 * A statement that may need longer than the shutdown of this process lasts is refused, and its
 * connection is closed, which rolls back an open transaction.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { AcquireError } from '../connections/acquire_error.js';
import type { InstancePool } from '../connections/instance_pool.js';
import type { InstanceTarget } from '../instance/instance_connection.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { SessionContent } from '../sessions/session_loader.js';
import {
  type Attempt,
  type PinnedConnection,
  StatementRunner,
  slowStartAnswer,
} from '../sessions/statement_runner.js';
import { isWithinAllowedRegions } from '../placement/data_residency.js';
import { causeText } from '../routing/refusal_cause.js';
import { isInstanceAllowed } from '../routing/request_allowed_regions.js';
import { type Target } from '../routing/target_planner.js';
import { durationOf } from '../../runtime/duration.js';
import { type RelayedCommand, decodeRelayCommand, encodeRelayAnswer } from './relay_codec.js';

const { RelayOutcome } = whinyoke;

/** An instance that this process has connections to. */
type LocalTarget = Target & { readonly pool: InstancePool };

/** A connection pinned by a transaction of another proxy. */
interface RelayPinnedConnection {
  readonly pinned: PinnedConnection;
  /** Whether a statement is in flight on it. */
  isRunning: boolean;
  usedAt: number;
}

/**
 * Longer than the idle timeout of transactions at the proxy that runs them: a connection that is
 * idle for this long belongs to a proxy that has crashed.
 */
const PINNED_IDLE_TIMEOUT_MS = 8000;

/** Cause of a refusal: the answers of a restarted primary are not trusted. */
const PRIMARY_RESTARTED = 'the primary started again';

export class RelayServer {
  private readonly runner: StatementRunner;
  private readonly pinnedConnections = new Map<string, RelayPinnedConnection>();
  /** Number of requests of other proxies, by outcome. */
  readonly counts = new Map<string, number>();
  private inFlight = 0;
  private nextConnection = 1;

  constructor(
    private readonly context: ProxyContext,
    /** Returns the pool of this process for an instance. */
    private readonly poolOf: (instance: string) => InstancePool | undefined,
    private readonly incarnation: string,
  ) {
    this.runner = new StatementRunner(context);
  }

  /** Number of statements in flight and of pinned connections. */
  get openCount(): number {
    return this.inFlight + this.pinnedConnections.size;
  }

  /** Handles one request. Never rejects. */
  async handle(request: whinyoke.IRelayRequest, isLeaving: boolean): Promise<whinyoke.IRelayReply> {
    this.inFlight++;
    try {
      return this.countReply(await this.serve(request, isLeaving));
    } catch (error) {
      this.context.log(Events.relayFailed, {
        instance: request.instance ?? '',
        reason: messageOf(error),
      });
      return this.countReply({ outcome: RelayOutcome.LOST, cause: messageOf(error) });
    } finally {
      this.inFlight--;
    }
  }

  private countReply(reply: whinyoke.IRelayReply): whinyoke.IRelayReply {
    const outcome = RelayOutcome[reply.outcome ?? RelayOutcome.ANSWERED];
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1);
    return reply;
  }

  /** Closes all pinned connections, which rolls their transactions back. Those in use end with a reply. */
  closePinnedConnections(): void {
    for (const connection of this.pinnedConnections.keys()) this.closePinned(connection);
  }

  /** Closes pinned connections that their proxy abandoned; called periodically. */
  maintain(): void {
    const oldest = this.context.clock.now() - PINNED_IDLE_TIMEOUT_MS;
    for (const [connection, { pinned, isRunning, usedAt }] of this.pinnedConnections) {
      if (isRunning || usedAt > oldest) continue;
      this.pinnedConnections.delete(connection);
      this.runner.discard(pinned);
    }
  }

  private serve(
    request: whinyoke.IRelayRequest,
    isLeaving: boolean,
  ): Promise<whinyoke.IRelayReply> | whinyoke.IRelayReply {
    const connection = request.connection ?? '';
    if (request.closes) return this.closePinned(connection);
    const command = decodeRelayCommand(request.command);
    const waitMs = durationOf(request.waitMs);
    const timeoutMs = durationOf(request.timeoutMs);
    if (!command) return notRunReply('no command that is known');
    if (waitMs === undefined || timeoutMs === undefined) return notRunReply('no time is left');
    if (connection !== '') return this.runPinned(connection, request, command, timeoutMs);
    const target = isLeaving ? undefined : this.targetOf(request.instance ?? '');
    if (!target)
      return { outcome: RelayOutcome.NOT_HOME, cause: 'the instance is not served here' };
    if (!matchesIncarnation(request, target.pool.target))
      return notRunReply('another incarnation is meant');
    if (!this.isAllowedHere(request)) return this.refuseOutsideRegions(request);
    if (this.isDistrusted(target)) return notRunReply(PRIMARY_RESTARTED);
    return this.runNew(target, request, command, waitMs, timeoutMs);
  }

  /**
   * Whether this proxy may receive the statement and the instance may run it. Checked here as well,
   * since the settings of the other proxy may assign other regions to the zones.
   */
  private isAllowedHere({ homes, instance }: whinyoke.IRelayRequest): boolean {
    const { zone, regionByZone } = this.context;
    const regions = homes ? new Set(homes.regions ?? []) : undefined;
    const isHere = isWithinAllowedRegions(regions, zone, regionByZone);
    return isHere && isInstanceAllowed(this.context, regions, instance ?? '');
  }

  private refuseOutsideRegions({ instance, homes }: whinyoke.IRelayRequest): whinyoke.IRelayReply {
    this.context.log(Events.relayOutsideHomes, {
      instance: instance ?? '',
      homes: (homes?.regions ?? []).join(),
    });
    return notRunReply(causeText({ kind: 'outsideHomes' }));
  }

  private closePinned(connection: string): whinyoke.IRelayReply {
    const entry = this.pinnedConnections.get(connection);
    this.pinnedConnections.delete(connection);
    if (entry) this.runner.discard(entry.pinned);
    return { outcome: RelayOutcome.ANSWERED };
  }

  private targetOf(instance: string): LocalTarget | undefined {
    const pool = this.poolOf(instance);
    if (!pool) return undefined;
    const { group } = pool.target;
    const primary = this.context.leases.primaryOf(group, this.context.clock.now());
    const primaryEpoch = primary?.instance === instance ? primary.epoch : undefined;
    return { instance, pool, group, primaryEpoch };
  }

  private isDistrusted({ group, instance }: Target): boolean {
    return this.context.leases.isDistrusted(group, instance);
  }

  private async runNew(
    target: Target,
    request: whinyoke.IRelayRequest,
    command: RelayedCommand,
    waitMs: number,
    timeoutMs: number,
  ): Promise<whinyoke.IRelayReply> {
    const content = contentOf(request, command);
    const connectionRequest = {
      tenant: request.anyTenant ? undefined : (request.tenant ?? ''),
      values: content.values,
      priority: request.priority ?? 0,
      objectiveMs: request.usefulMs ?? 0,
    };
    let pinned: PinnedConnection;
    try {
      pinned = await this.runner.acquire(target, connectionRequest, waitMs);
    } catch (error) {
      if (error instanceof AcquireError && error.failure === 'slowStart') {
        return replyTo({ outcome: 'answered', answer: slowStartAnswer(target, false) }, '');
      }
      return notRunReply(`no connection: ${messageOf(error)}`);
    }
    return this.run(pinned, '', content, command, timeoutMs);
  }

  private async runPinned(
    connection: string,
    request: whinyoke.IRelayRequest,
    command: RelayedCommand,
    timeoutMs: number,
  ): Promise<whinyoke.IRelayReply> {
    const entry = this.pinnedConnections.get(connection);
    if (!entry || entry.pinned.pooled.connection.closed) {
      this.closePinned(connection);
      return notRunReply('the connection has ended');
    }
    entry.isRunning = true;
    const { pinned } = entry;
    pinned.target.pool.markActive(pinned.pooled);
    return this.run(pinned, connection, contentOf(request, command), command, timeoutMs);
  }

  private async run(
    pinned: PinnedConnection,
    connection: string,
    content: SessionContent,
    command: RelayedCommand,
    timeoutMs: number,
  ): Promise<whinyoke.IRelayReply> {
    if (command.kind !== 'rollback' && !this.context.shutdown.coversTimeout(timeoutMs)) {
      this.pinnedConnections.delete(connection);
      this.runner.discard(pinned);
      return notRunReply(causeText({ kind: 'shuttingDown' }));
    }
    const attempt = await this.runner.attempt(pinned, content, command, timeoutMs);
    // The other proxy may not have had contact with the primary before, and then cannot detect that
    // the primary lost its log.
    if (this.isDistrusted(pinned.target)) {
      this.pinnedConnections.delete(connection);
      this.runner.discard(pinned);
      return { outcome: RelayOutcome.LOST, cause: PRIMARY_RESTARTED };
    }
    const isOpen = attempt.outcome === 'answered' && attempt.answer.state === 'open';
    if (isOpen && !pinned.pooled.connection.closed) {
      return replyTo(attempt, this.pin(pinned, connection));
    }
    this.pinnedConnections.delete(connection);
    const answer = attempt.outcome === 'answered' ? attempt.answer : undefined;
    if (answer) this.runner.release(pinned, answer);
    else this.runner.discard(pinned);
    return replyTo(attempt, '');
  }

  private pin(pinned: PinnedConnection, existing: string): string {
    const connection = existing || `${this.incarnation}.${this.nextConnection++}`;
    this.pinnedConnections.set(connection, {
      pinned,
      isRunning: false,
      usedAt: this.context.clock.now(),
    });
    pinned.target.pool.markIdleInTransaction(pinned.pooled);
    return connection;
  }
}

/**
 * Whether a request means the incarnation that is served. One that names none, or the first one
 * (0), always does.
 */
function matchesIncarnation(
  request: whinyoke.IRelayRequest,
  { incarnation }: InstanceTarget,
): boolean {
  const requestedIncarnation = request.instanceIncarnation ?? 0;
  return requestedIncarnation === 0 || requestedIncarnation === (incarnation ?? 0);
}

/** Reply for a statement that has not run. */
function notRunReply(cause: string): whinyoke.IRelayReply {
  return { outcome: RelayOutcome.NOT_RUN_HERE, cause };
}

function contentOf(request: whinyoke.IRelayRequest, command: RelayedCommand): SessionContent {
  const values = new Map(
    (request.values ?? []).map(({ name, value }): [string, string] => [name ?? '', value ?? '']),
  );
  const isExecute = command.kind === 'data' && command.statement.kind === 'execute';
  return { values, prepared: isExecute ? command.statement.prepared : undefined };
}

function replyTo(attempt: Attempt, connection: string): whinyoke.IRelayReply {
  switch (attempt.outcome) {
    case 'answered':
      return {
        outcome: RelayOutcome.ANSWERED,
        connection,
        answer: encodeRelayAnswer(attempt.answer),
      };
    case 'notRun':
      return notRunReply(causeText(attempt.cause));
    case 'lost':
      return { outcome: RelayOutcome.LOST, cause: causeText(attempt.cause) };
  }
}
