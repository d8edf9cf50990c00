/** Callers of the simulation: sessions that read, write and run transactions, and tell the judge. */
import type { CallerReply } from '../../src/appointed/sessions/caller_reply.js';
import type { ReadPolicy } from '../../src/appointed/catalog/route_table.js';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import type { CallerStatement, PreparedShape } from '../../src/appointed/instance/statement.js';
import { type RandomSource, delay } from '../../src/runtime/runtime.js';
import { StreamEnd } from '../simulation/virtual_stream.js';
import {
  type AppointedWorld,
  BOUNDED_STALENESS_MS,
  OWN_STALENESS_MS,
  POLICIES,
  databaseOf,
} from './appointed_world.js';

interface Request {
  readonly id: string;
  readonly statement: CallerStatement;
}

const ANSWER_TIMEOUT_MS = 3000;
const THINK_MS = 40;
const TRANSACTION_STATEMENTS = 4;

/** One connection of a caller to a proxy. */
class CallerLink {
  private readonly near: StreamEnd;
  private pending: ((reply: CallerReply | undefined) => void) | undefined;

  private constructor(private readonly world: AppointedWorld) {
    this.near = new StreamEnd(world.network, world.outside);
    this.near.onMessage = (message) => this.settle(message as CallerReply);
    this.near.onClosed = () => this.settle(undefined);
  }

  /** Connects to a proxy; undefined when it can't serve. */
  static open(
    world: AppointedWorld,
    router: number,
    database: string,
    credential: string | undefined,
  ): CallerLink | undefined {
    const running = world.routers[router]?.running;
    const session = running?.core.openSession(database, credential);
    if (!running || !session) return undefined;
    const link = new CallerLink(world);
    const far = new StreamEnd(world.network, running.process);
    StreamEnd.join(world.network, link.near, far);
    serve(far, session);
    return link;
  }

  /** Sends a statement; undefined when no answer came. */
  send(request: Request): Promise<CallerReply | undefined> {
    return new Promise((resolve) => {
      const timer = this.world.outside.clock.setTimer(ANSWER_TIMEOUT_MS, () => {
        this.settle(undefined);
        this.near.close();
      });
      this.pending = (reply) => {
        timer.cancel();
        resolve(reply);
      };
      if (this.near.open) this.near.send(request);
      else this.settle(undefined);
    });
  }

  close(): void {
    this.near.close();
  }

  private settle(reply: CallerReply | undefined): void {
    const { pending } = this;
    this.pending = undefined;
    pending?.(reply);
  }
}

function serve(end: StreamEnd, session: RoutedSession): void {
  end.onClosed = () => session.close();
  end.onMessage = (message) => {
    const { id, statement } = message as Request;
    void session.execute(id, statement).then((reply) => end.send(reply));
  };
}

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
  ) {}

  /** Runs operations until it is stopped. */
  async run(): Promise<void> {
    const { clock } = this.world.outside;
    while (!this.isStopped) {
      await delay(clock, THINK_MS * 2 * this.random.next());
      if (!this.link) this.connect();
      if (this.link) await this.operate();
      if (this.link && this.random.next() < 0.03) this.disconnect();
    }
    this.disconnect();
  }

  /** Ends after the present operation. */
  stop(): void {
    this.isStopped = true;
  }

  private connect(): void {
    const router = this.random.integer(0, this.world.routers.length - 1);
    this.credential ??= this.world.tenancy?.credentialFor(this.number);
    const database = databaseOf(this.group, this.policy);
    this.link = CallerLink.open(this.world, router, database, this.credential);
    this.session = `${this.name}-${this.nextRequest}`;
    this.values = new Map();
    this.prepared = new Map();
  }

  private disconnect(): void {
    this.link?.close();
    this.link = undefined;
  }

  private async operate(): Promise<void> {
    const choice = this.random.next();
    if (choice < 0.08) await this.setValue();
    else if (choice < 0.16) await this.prepare();
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
    const name = `v${this.random.integer(1, 2)}`;
    const value = this.newId();
    const reply = await this.send(value, { kind: 'set', name, value });
    if (reply && !reply.error) this.values.set(name, value);
  }

  private async prepare(): Promise<void> {
    const access = this.random.next() < 0.5 ? 'read' : 'write';
    const prepared: PreparedShape = { access, shape: `q${this.random.integer(1, 4)}` };
    const name = `s${this.random.integer(1, 2)}`;
    const reply = await this.send(this.newId(), { kind: 'prepare', name, prepared });
    if (reply && !reply.error) this.prepared.set(name, prepared);
  }

  /** A statement of the wanted kind, as text or by a prepared name. */
  private dataStatement(access: 'read' | 'write'): {
    statement: CallerStatement;
    prepared: PreparedShape | undefined;
  } {
    const usable = [...this.prepared].find(([, shape]) => shape.access === access);
    if (usable && this.random.next() < 0.5) {
      const [name, prepared] = usable;
      return { statement: { kind: 'execute', name, argument: 'thing' }, prepared };
    }
    return { statement: { kind: access, argument: 'thing' }, prepared: undefined };
  }

  private expect(
    id: string,
    transaction: string | undefined,
    prepared: PreparedShape | undefined,
  ): void {
    const values = new Map(this.values);
    const { group, credential, now: sentAt } = this;
    const expectation = { group, values, prepared, transaction, credential, sentAt };
    this.world.judge.expect(id, expectation);
  }

  private async read(
    transaction: string | undefined,
    firstByteAt: number,
  ): Promise<CallerReply | undefined> {
    const id = this.newId();
    const { statement, prepared } = this.dataStatement('read');
    this.expect(id, transaction, prepared);
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
    const { statement, prepared } = this.dataStatement('write');
    this.expect(id, undefined, prepared);
    this.settle(await this.send(id, statement), [id]);
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
    this.expect(id, transaction, undefined);
    this.settle(await this.send(id, { kind: 'commit' }), writes);
  }

  private async writeIn(transaction: string, writes: string[]): Promise<CallerReply | undefined> {
    const id = this.newId();
    const { statement, prepared } = this.dataStatement('write');
    this.expect(id, transaction, prepared);
    writes.push(id);
    return this.send(id, statement);
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

/** Callers of all groups and policies. */
export function createCallers(world: AppointedWorld): AppointedCaller[] {
  return Array.from({ length: world.deployment.callers }, (_, index) => {
    const group = world.groups[index % world.groups.length]!;
    const policy = POLICIES[Math.floor(index / world.groups.length) % POLICIES.length]!;
    return new AppointedCaller(world, `c${index}`, group.name, policy, world.outside.random, index);
  });
}
