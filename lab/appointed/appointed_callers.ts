/** Callers of the simulation: sessions that read, write and run transactions, and tell the judge. */
import type { CallerReply } from '../../src/appointed/sessions/caller_reply.js';
import type { ReadPolicy } from '../../src/appointed/catalog/route_table.js';
import type { CallerStatement, PreparedShape } from '../../src/appointed/instance/statement.js';
import { type RandomSource, delay } from '../../src/runtime/runtime.js';
import {
  type AppointedWorld,
  BOUNDED_STALENESS_MS,
  OWN_STALENESS_MS,
  POLICIES,
  databaseOf,
} from './appointed_world.js';
import type { CallerExpectation } from './appointed_judge.js';
import { type CallerLink, SessionLink } from './caller_link.js';
import { type CallerTexts, arbitraryTexts, plainTexts } from './caller_texts.js';
import { ConnectedLink } from './connected_link.js';
import { pick } from './fault_targets.js';

const THINK_MS = 40;
const TRANSACTION_STATEMENTS = 4;
const DISCONNECT_SHARE = 0.03;
const SHORT_SESSION_DISCONNECT_SHARE = 0.6;
/** Pause of sessions that are mostly idle. */
const IDLE_THINK_MS = 200;
/** Share of the connections that are opened to a proxy that stops, if there is one. */
const STOPPING_SHARE = 0.8;

type ExpectedStatement = Pick<CallerExpectation, 'prepared' | 'argument' | 'isCommit'>;

/** One caller with one route. */
export class AppointedCaller {
  private link: CallerLink | undefined;
  private values = new Map<string, string>();
  private prepared = new Map<string, PreparedShape>();
  private session = '';
  private credential: string | undefined;
  private nextRequest = 1;
  private isStopped = false;

  constructor(
    private readonly world: AppointedWorld,
    private readonly name: string,
    private readonly group: string,
    private readonly policy: ReadPolicy,
    private readonly random: RandomSource,
    private readonly number: number,
    /** Whether it connects through the product's own connections of callers, or opens sessions directly. */
    private readonly usesConnections: boolean,
    private readonly texts: CallerTexts,
  ) {}

  /** Runs operations until it is stopped. */
  async run(): Promise<void> {
    const { clock } = this.world.outside;
    while (!this.isStopped) {
      await delay(clock, this.pauseMs * 2 * this.random.next());
      if (!this.link) await this.connect();
      if (this.link) await this.operate();
      if (this.link && this.random.next() < this.disconnectShare) this.disconnect();
    }
    this.disconnect();
  }

  /** Ends after the present operation. */
  stop(): void {
    this.isStopped = true;
  }

  private async connect(): Promise<void> {
    const router = this.chooseRouter();
    this.credential ??= this.world.tenancy?.credentialFor(this.number);
    const { world, credential } = this;
    const database = databaseOf(this.group, this.policy);
    this.session = `${this.name}-${this.nextRequest}`;
    this.values = new Map();
    this.prepared = new Map();
    this.link = this.usesConnections
      ? await ConnectedLink.open(world, world.routers[router]!, this.session, {
          database,
          credential,
        })
      : SessionLink.open(world, router, database, credential);
  }

  /** Number of the proxy to connect to; callers with connections prefer proxies that stop. */
  private chooseRouter(): number {
    const { random, world } = this;
    const last = world.routers.length - 1;
    if (!this.usesConnections || random.next() > STOPPING_SHARE) return random.integer(0, last);
    const stopping = [...world.routers.keys()].filter((index) => world.routers[index]!.isStopping);
    return stopping.length > 0 ? pick(stopping, random) : random.integer(0, last);
  }

  /** Mean pause before an operation; some callers with connections use them rarely. */
  private get pauseMs(): number {
    return this.usesConnections && this.number % 6 === 0 ? IDLE_THINK_MS : THINK_MS;
  }

  /** Share of the operations after which the caller disconnects; half of the callers with connections keep none for long. */
  private get disconnectShare(): number {
    const isShort = this.usesConnections && this.number % 2 === 1;
    return isShort ? SHORT_SESSION_DISCONNECT_SHARE : DISCONNECT_SHARE;
  }

  private disconnect(): void {
    this.link?.close();
    this.link = undefined;
  }

  private async operate(): Promise<void> {
    const choice = this.random.next();
    const { setShare, prepareShare } = this.texts;
    if (choice < setShare) await this.setValue();
    else if (choice < setShare + prepareShare) await this.prepare();
    else if (choice < 0.5) await this.read(undefined, this.now);
    else if (choice < 0.75) await this.write();
    else await this.transact();
  }

  private get now(): number {
    return this.world.scheduler.now;
  }

  private newId(): string {
    return `${this.name}.${this.nextRequest++}`;
  }

  private async send(id: string, statement: CallerStatement): Promise<CallerReply | undefined> {
    const reply = await this.link?.send({ id, statement });
    // A caller learns of its new credential when the former one is refused.
    if (reply?.error?.kind === 'unauthenticated') this.credential = undefined;
    if (!reply || reply.error?.kind === 'unauthenticated') this.disconnect();
    return reply;
  }

  private async setValue(): Promise<void> {
    const name = `v${this.random.integer(1, this.texts.valueNames)}`;
    const id = this.newId();
    const value = this.texts.value(id);
    const reply = await this.send(id, { kind: 'set', name, value });
    if (reply && !reply.error) this.values.set(name, value);
  }

  private async prepare(): Promise<void> {
    const access = this.random.next() < 0.5 ? 'read' : 'write';
    const prepared: PreparedShape = { access, shape: this.texts.shape() };
    const name = `s${this.random.integer(1, this.texts.preparedNames)}`;
    const reply = await this.send(this.newId(), { kind: 'prepare', name, prepared });
    if (reply && !reply.error) this.prepared.set(name, prepared);
  }

  /** A statement of the wanted kind, as text or by a prepared name. */
  private dataStatement(access: 'read' | 'write'): {
    statement: CallerStatement;
    expected: ExpectedStatement;
  } {
    const argument = this.texts.argument();
    const usable = [...this.prepared].find(([, shape]) => shape.access === access);
    if (usable && this.random.next() < 0.5) {
      const [name, prepared] = usable;
      return {
        statement: { kind: 'execute', name, argument },
        expected: { prepared, argument },
      };
    }
    return {
      statement: { kind: access, argument },
      expected: { prepared: undefined, argument },
    };
  }

  private expect(id: string, transaction: string | undefined, statement: ExpectedStatement): void {
    const values = new Map(this.values);
    const { group, credential, now: sentAt } = this;
    const expectation = { group, values, ...statement, transaction, credential, sentAt };
    this.world.judge.expect(id, expectation);
  }

  private async read(
    transaction: string | undefined,
    firstByteAt: number,
  ): Promise<CallerReply | undefined> {
    const id = this.newId();
    const { statement, expected } = this.dataStatement('read');
    this.expect(id, transaction, expected);
    const reply = await this.send(id, statement);
    if (!reply || reply.error) return reply;
    const { policy } = this;
    const stalenessMs = {
      primary: 0,
      boundedStaleness: BOUNDED_STALENESS_MS,
      ownWrites: OWN_STALENESS_MS,
    }[policy.kind];
    this.world.judge.onRead({
      id,
      rows: reply.rows,
      signature: reply.signature,
      mustSeeUntil: firstByteAt - stalenessMs,
      ownSession: policy.kind === 'ownWrites' ? this.session : undefined,
    });
    return reply;
  }

  private async write(): Promise<void> {
    const id = this.newId();
    const { statement, expected } = this.dataStatement('write');
    this.expect(id, undefined, expected);
    const reply = await this.send(id, statement);
    this.checkSignature(id, reply);
    this.settle(reply, [id]);
  }

  private checkSignature(id: string, reply: CallerReply | undefined): void {
    if (reply && !reply.error) this.world.judge.onSigned(id, reply.signature, reply.rows);
  }

  /** Tells the judge how writes ended. */
  private settle(reply: CallerReply | undefined, requests: readonly string[]): void {
    const { judge } = this.world;
    if (!reply) return;
    if (!reply.error) judge.onAcknowledged(this.group, this.session, requests);
    else if (reply.error.kind === 'inDoubt' || reply.error.kind === 'timeout') judge.onInDoubt();
    else if (reply.error.kind !== 'failed') judge.onRefused(reply.error.kind, requests);
  }

  private async transact(): Promise<void> {
    const beganAt = this.now;
    const transaction = this.newId();
    const readOnly = this.random.next() < 0.4;
    const begun = await this.send(transaction, { kind: 'begin', readOnly });
    if (!begun || begun.error) return;
    const writes: string[] = [];
    const count = this.random.integer(1, TRANSACTION_STATEMENTS);
    for (let index = 0; index < count; index++) {
      const isWrite = !readOnly && this.random.next() < 0.6;
      const reply = isWrite
        ? await this.writeIn(transaction, writes)
        : await this.read(transaction, beganAt);
      if (!reply) return;
      if (reply.error) {
        await this.rollback(reply, writes);
        return;
      }
      await delay(this.world.outside.clock, THINK_MS * this.random.next());
    }
    if (this.random.next() < 0.15) {
      await this.rollback(undefined, writes);
      return;
    }
    const id = this.newId();
    this.expect(id, transaction, { prepared: undefined, isCommit: true });
    const reply = await this.send(id, { kind: 'commit' });
    this.checkSignature(id, reply);
    this.settle(reply, writes);
  }

  private async writeIn(transaction: string, writes: string[]): Promise<CallerReply | undefined> {
    const id = this.newId();
    const { statement, expected } = this.dataStatement('write');
    this.expect(id, transaction, expected);
    writes.push(id);
    const reply = await this.send(id, statement);
    this.checkSignature(id, reply);
    return reply;
  }

  private async rollback(
    failure: CallerReply | undefined,
    writes: readonly string[],
  ): Promise<void> {
    this.world.judge.onRefused(failure?.error?.kind ?? 'aborted', writes);
    const reply = await this.send(this.newId(), { kind: 'rollback' });
    if (reply?.state !== 'idle') this.disconnect();
  }
}

/**
 * Callers of all groups and policies.
 * @param useConnections - whether they connect through the product's own connections of callers
 * @param useArbitraryTexts - whether their texts hold any bytes
 */
export function createCallers(
  world: AppointedWorld,
  useConnections: boolean,
  useArbitraryTexts: boolean,
): AppointedCaller[] {
  const { random } = world.outside;
  const texts = useArbitraryTexts ? arbitraryTexts(random) : plainTexts(random);
  return Array.from({ length: world.deployment.callers }, (_, index) => {
    const group = world.groups[index % world.groups.length]!;
    const policy = POLICIES[Math.floor(index / world.groups.length) % POLICIES.length]!;
    const name = `c${index}`;
    return new AppointedCaller(
      world,
      name,
      group.name,
      policy,
      random,
      index,
      useConnections,
      texts,
    );
  });
}
