/**
 * Runs one real proxy on a virtual clock, with fake instances that record the commands they receive
 * and a fake control that serves a local catalog.
 *
 * Group `g` has the databases `any` (reads may be 2 s stale), `own` (only the primary serves) and `mine` (reads may be 2 s
 * stale, but see the session's own writes).
 */
import { Scheduler } from '../../lab/simulation/scheduler.js';
import { VirtualProcess } from '../../lab/simulation/virtual_process.js';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { documentOf } from '../../src/appointed/catalog/document_source.js';
import type { ReadPolicy, Route } from '../../src/appointed/catalog/route_table.js';
import { CatalogUpdates } from '../../src/appointed/control/catalog_updates.js';
import type { InstanceAnswer } from '../../src/appointed/instance/instance_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { AppointedProxy } from '../../src/appointed/proxy/appointed_proxy.js';
import { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import { TenantDirectory } from '../../src/appointed/tenancy/tenant.js';
import { BackendConnectionLostError } from '../../src/errors/errors.js';
import type { EventKind } from '../../src/observability/events.js';
import { type Position, START } from '../../src/positions/position.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { type MessageBody, type Runtime, delay } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { FakeConnection } from './fake_connection.js';

const { GroupPhase, InstanceState } = whinyoke;
const CONTROL = '10.8.0.1:7000';
const WORK_MS = 5;
const LEASE_MS = 3000;
const CONNECTION_LIMIT = 100;

/** A command that reached an instance. */
interface SentCommand {
  readonly at: number;
  readonly instance: string;
  readonly command: InstanceCommand;
}

/**
 * Connection that records commands and answers them after a delay, unless its instance is
 * unresponsive.
 */
class RecordingConnection extends FakeConnection {
  private state: InstanceAnswer['state'] = 'idle';

  constructor(
    private readonly harness: SingleProxyHarness,
    private readonly instance: string,
  ) {
    super();
  }

  override run = (async (command: InstanceCommand): Promise<InstanceAnswer> => {
    if (this.closed) throw new BackendConnectionLostError('connection is closed', { sent: false });
    const { harness, instance } = this;
    harness.sentCommands.push({ at: harness.now, instance, command });
    do await delay(harness.clock, WORK_MS);
    while (harness.unresponsiveInstances.has(instance) && !this.closed);
    if (this.closed) throw new BackendConnectionLostError('connection was closed', { sent: true });
    if (command.kind === 'commit' && harness.refusesCommits) {
      const error = { kind: 'busy', text: instance } as const;
      return { rows: [], signature: '', error, state: this.state };
    }
    if (command.kind === 'begin') this.state = 'open';
    if (command.kind === 'commit' || command.kind === 'rollback') this.state = 'idle';
    const { received } = harness;
    const role = harness.catalog.group('g')?.primary === instance ? 'primary' : 'replica';
    const state = { role, term: 1, fencedTerm: 0, lagMs: 0 } as const;
    const status = { ...state, received: received ?? START };
    const position = received && { position: received };
    return { rows: [], signature: 's', state: this.state, status, ...position };
  }) as FakeConnection['run'];
}

const STALENESS = { maximumStalenessMs: 2000 };
const POLICIES: Readonly<Record<string, ReadPolicy>> = {
  any: { kind: 'boundedStaleness', ...STALENESS },
  own: { kind: 'primary' },
  mine: { kind: 'ownWrites', ...STALENESS },
};

/** A proxy with its instances and control. */
export class SingleProxyHarness {
  readonly scheduler = new Scheduler();
  readonly catalog = new Catalog();
  readonly core: AppointedProxy;
  /** All commands that reached an instance. */
  readonly sentCommands: SentCommand[] = [];
  /** Instance of each opened connection. */
  readonly openedInstances: string[] = [];
  /** Instances whose connection attempts never complete. */
  readonly unreachableInstances = new Set<string>();
  /** Instances that do not answer commands. */
  readonly unresponsiveInstances = new Set<string>();
  /** Whether instances answer COMMIT with BUSY. */
  refusesCommits = false;
  /** Names of the logged events. */
  readonly events: string[] = [];
  /** Log position that all instances report; undefined if they report none. */
  received: Position | undefined = { term: 1, sequence: 1 };
  /** Whether control does not answer. */
  isControlUnresponsive = false;
  /** Group of each database. */
  private readonly groupByDatabase = new Map(Object.keys(POLICIES).map((name) => [name, 'g']));
  private documentVersion = 0;
  /** Handler for messages of other proxies. */
  handle: Parameters<Runtime['messenger']['serve']>[0] = () =>
    Promise.reject(new Error('no message handler is registered'));
  private readonly process = new VirtualProcess('10.7.0.1', this.scheduler, new SeededRandom(1), 0);
  private readonly updates = new CatalogUpdates(this.catalog);
  private index = 0;
  private nextRequest = 1;

  /** @param zones - zone of each instance; the first one is the primary */
  constructor(zones: Readonly<Record<string, string>>) {
    const [primary] = Object.keys(zones);
    this.submitDocument();
    for (const [id, zone] of Object.entries(zones)) this.placeInstance(id, zone);
    this.setPrimary(primary!, 1);
    const messenger: Runtime['messenger'] = {
      request: (_address, body) => this.answerSync(body),
      serve: (handler) => void (this.handle = handler),
    };
    const { process } = this;
    const { clock, random } = process;
    // This kind of proxy has no data folder, so the runtime needs no storage.
    const runtime = { clock, random, messenger } as Runtime;
    this.core = new AppointedProxy(runtime, {
      id: 'p',
      zone: 'z1',
      address: '10.7.0.1:7001',
      seeds: [CONTROL],
      connector: {
        connect: ({ id }) => {
          if (this.unreachableInstances.has(id)) return new Promise(() => undefined);
          this.openedInstances.push(id);
          const position = { term: 1, sequence: 1 };
          return Promise.resolve({ connection: new RecordingConnection(this, id), position });
        },
      },
      reader: {
        read: () => ({
          version: this.documentVersion,
          routeByDatabase: this.routes(),
          limitsByGroup: new Map(
            ['g', 'h'].map((group) => [group, { group, connectionLimit: CONNECTION_LIMIT }]),
          ),
          transactionIdleMs: 0,
          tenants: new TenantDirectory([]),
        }),
      },
      log: (kind: EventKind) => void this.events.push(kind.name),
      counters: { answered: noop, served: noop, retried: noop, refusedByAllowedRegions: noop },
      credentialFreshnessMs: Infinity,
      quotaRules: { windowMs: 5000, overage: 0, tolerance: 0 },
      placementRules: DEFAULT_PLACEMENT_RULES,
    });
  }

  get now(): number {
    return this.scheduler.now;
  }

  get clock(): Runtime['clock'] {
    return this.process.clock;
  }

  /** Starts the proxy, and runs a write to give it the position that reads require. */
  async start(): Promise<void> {
    this.core.start();
    await this.run(200);
    await this.runUntilSettled(this.session('own').write());
  }

  run(milliseconds: number): Promise<void> {
    return this.scheduler.runUntil(this.now + milliseconds);
  }

  /** Advances the clock until a promise is settled. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const onSettled = (): void => void (isSettled = true);
    promise.then(onSettled, onSettled);
    for (let tries = 0; tries < 3000 && !isSettled; tries++) await this.run(1);
    if (!isSettled) throw new Error('promise was not settled within 3000 ms of virtual time');
    return promise;
  }

  apply(command: whinyoke.ICatalogCommand): void {
    this.index++;
    this.catalog.apply(this.index, whinyoke.CatalogCommand.encode(command).finish());
  }

  setEvacuation(zone: string, begins: boolean): void {
    this.apply({ putEvacuation: { zone, begins } });
  }

  placeInstance(id: string, zone: string, group = 'g'): void {
    const state = InstanceState.READY;
    this.apply({ putInstance: { id, group, address: `${id}:1`, zone, slots: 4, state } });
  }

  /** Appoints a primary for an epoch. */
  setPrimary(primary: string, epoch: number, phase = GroupPhase.STEADY, group = 'g'): void {
    this.apply({ putGroup: { group, epoch, phase, primary, term: 1, planned: true } });
  }

  /** Moves the route of a database to a group, and waits until the proxy has it. */
  async moveRoute(database: string, group: string): Promise<void> {
    this.groupByDatabase.set(database, group);
    this.submitDocument();
    await this.run(100);
  }

  private submitDocument(): void {
    const version = ++this.documentVersion;
    this.apply({ putDocument: documentOf(version, `version ${version}`) });
  }

  private routes(): Map<string, Route> {
    const times = { timeoutMs: 1000, targetLatencyMs: 400, priority: 0 };
    const routes = Object.entries(POLICIES).map(([database, policy]): [string, Route] => {
      const group = this.groupByDatabase.get(database)!;
      return [database, { name: database, database, group, policy, ...times, isPublic: true }];
    });
    return new Map(routes);
  }

  /** Opens a session whose statements get new request identifiers. */
  session(database: string): {
    state: () => string;
    read: () => ReturnType<RoutedSession['execute']>;
    write: () => ReturnType<RoutedSession['execute']>;
    execute: (
      statement: Parameters<RoutedSession['execute']>[1],
    ) => ReturnType<RoutedSession['execute']>;
  } {
    const session = this.core.openSession(database)!;
    const execute: ReturnType<SingleProxyHarness['session']>['execute'] = (statement) =>
      session.execute(`r${this.nextRequest++}`, statement);
    return {
      state: () => session.state,
      read: () => execute({ kind: 'read', argument: 'x' }),
      write: () => execute({ kind: 'write', argument: 'x' }),
      execute,
    };
  }

  /** Instances that received statements of callers after a point in time. */
  instancesReachedSince(at: number): readonly string[] {
    const later = this.sentCommands.filter(
      (item) => item.at > at && item.command.kind !== 'status',
    );
    return [...new Set(later.map(({ instance }) => instance))].sort();
  }

  private async answerSync({ syncRequest }: MessageBody): Promise<MessageBody> {
    const known = syncRequest?.knownVersion ?? 0;
    const until = this.now + (syncRequest?.waitMs ?? 0);
    do await delay(this.clock, 1);
    while (this.catalog.version <= known && this.now < until);
    if (this.isControlUnresponsive) throw new Error('control does not answer');
    return {
      syncReply: {
        accepted: true,
        leaseMs: LEASE_MS,
        version: this.catalog.version,
        update: this.updates.since(known, syncRequest?.knownDocument ?? 0),
        term: 1,
        clockMs: Math.floor(this.now),
      },
    };
  }
}

function noop(): void {
  return undefined;
}
