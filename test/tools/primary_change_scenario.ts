/** A leader that changes the primary of a group of three instances: catalog, scripted instances and recorded appointments. */
import { tableWithGroup } from './route_table.js';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import type { AppointmentLease } from '../../src/appointed/failover/appointment_lease.js';
import { InstanceAdministrator } from '../../src/appointed/failover/instance_administrator.js';
import { InstanceMonitor } from '../../src/appointed/failover/instance_monitor.js';
import { LeaseLedger } from '../../src/appointed/failover/lease_ledger.js';
import {
  type PrimaryChangerContext,
  PrimaryChanger,
} from '../../src/appointed/failover/primary_changer.js';
import type { PersistentConnection } from '../../src/appointed/failover/persistent_connections.js';
import type {
  InstanceAnswer,
  InstanceConnection,
  InstanceConnector,
  InstanceStatus,
  InstanceTarget,
} from '../../src/appointed/instance/instance_connection.js';
import { ConnectError } from '../../src/appointed/instance/instance_connection.js';
import { CommitWatermarks } from '../../src/appointed/failover/commit_watermarks.js';
import { type Position, START } from '../../src/positions/position.js';
import type { Clock } from '../../src/runtime/runtime.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';

const { AppointOutcome, GroupPhase, InstanceState } = whinyoke;
const PROXIES = [
  { id: 'p1', incarnation: 'x' },
  { id: 'p2', incarnation: 'y' },
];
/** Term that the old primary leads. */
const TERM = 3;

/** Status of an instance that has received up to `sequence` of term 3, or nothing when that is omitted. */
export function statusUpTo(
  sequence?: number,
  role: InstanceStatus['role'] = 'replica',
): InstanceStatus {
  const received = sequence === undefined ? START : { term: TERM, sequence };
  return { role, term: received.term, received, fencedTerm: 0, lagMs: 0 };
}

/** Group `g` with instances a (the primary), b and c. */
export class PrimaryChangeScenario {
  readonly scheduler = new Scheduler();
  readonly catalog = new Catalog();
  readonly monitor = new InstanceMonitor();
  readonly ledger = new LeaseLedger();
  caughtUp = { has: () => false };
  readonly appointed: string[] = [];
  /** Status that each instance answers; an instance without an entry does not answer. */
  readonly statuses = new Map<string, InstanceStatus>();
  /** When the persistent connection to an instance was opened; long ago where omitted. */
  readonly openedAt = new Map<string, number>();
  /** Called when an instance is appointed, before the call returns; may give another outcome than `APPOINTED`. */
  onAppoint: (instance: string) => whinyoke.AppointOutcome | void = () => undefined;
  /** Newest position of the primary that proxies reported, and when it was requested. */
  reportedPosition: Position = START;
  reportedAt = -Infinity;
  readonly clock: Clock = {
    now: () => this.scheduler.now,
    setTimer: (delayMs, callback) => {
      const event = this.scheduler.schedule(delayMs, callback);
      return { cancel: () => this.scheduler.cancel(event) };
    },
  };
  private readonly administrator = new InstanceAdministrator(
    this.connector(),
    { of: (target) => this.persistentConnectionTo(target) },
    () => true,
  );
  readonly watermarks = this.createWatermarks();
  private index = 0;

  /**
   * @param minimumSequence - sequence that the primary's log held when its epoch began; 0: it was empty
   * @param born - start time that the instances report; 0: they report none
   */
  constructor(minimumSequence = 90, born = 1000) {
    this.ledger.beginLeadership(-Infinity, 0);
    for (const id of ['a', 'b', 'c']) this.reportInstance(id, born, 50);
    const epoch = { group: 'g', epoch: 1, phase: GroupPhase.STEADY, primary: 'a', term: TERM };
    const inheritedPosition =
      minimumSequence === 0 ? START : { term: TERM, sequence: minimumSequence };
    const leastPosition = born === 0 ? undefined : inheritedPosition;
    this.apply({ putGroup: { ...epoch, leastPosition, inheritedPosition } });
    this.apply({ takeDuty: { holder: 'control-1' } });
    this.watermarks.start();
  }

  apply(command: whinyoke.ICatalogCommand): whinyoke.CatalogResult {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(this.catalog.apply(++this.index, bytes));
  }

  /** Registers an instance and records its heartbeat. */
  reportInstance(id: string, born: number, sequence: number): void {
    const instance = { id, group: 'g', address: id, state: InstanceState.READY, born, sequence };
    this.monitor.recordHeartbeat({ instance }, this.scheduler.now);
    this.apply({ putInstance: instance });
  }

  /** Deregisters an instance, which serves on as long as it has a status. */
  deregister(id: string): void {
    this.apply({ putInstance: { ...this.catalog.instance(id), state: InstanceState.GONE } });
  }

  /** Ends an instance that has deregistered; its log goes with it. */
  end(id: string): void {
    this.statuses.delete(id);
    this.apply({ endInstance: { instance: id } });
  }

  /** Records a call to the platform for the target of the change; undefined if it may not be made. */
  recordCall(instance: string): string | undefined {
    const id = `control-1/1/${this.index}`;
    const call = { group: 'g', instance, token: this.catalog.appointmentLeaseEntry.token, id };
    return this.apply({ beginAppointmentCall: call }).changed ? id : undefined;
  }

  /** Ends all calls without a known outcome. */
  endCalls(): void {
    const { calls } = this.catalog.pendingAppointment('g') ?? {};
    this.apply({ endAppointmentCalls: { group: 'g', calls } });
  }

  /** An answered call has no effect after a while. */
  private endCallLater(call: string): void {
    this.scheduler.schedule(1000, () => {
      this.apply({ endAppointmentCalls: { group: 'g', calls: [call] } });
    });
  }

  /** Makes an appointed instance lead the next term with the log that it has. */
  lead(instance: string): void {
    const status = this.statuses.get(instance)!;
    this.statuses.set(instance, { ...status, role: 'primary', term: TERM + this.appointed.length });
  }

  /** Begins another epoch with the same primary. */
  beginNextEpoch(): void {
    const { epoch = 0, ...entry } = this.catalog.group('g')!;
    const next = (epoch ?? 0) + 1;
    this.apply({ putGroup: { ...entry, epoch: next, phase: GroupPhase.CHANGING } });
    this.apply({ putGroup: { ...entry, epoch: next + 1, phase: GroupPhase.STEADY } });
  }

  /** Starts a change in which p1 confirms what it had acknowledged, if anything, and p2 does not confirm. */
  changePrimary(acknowledged?: number): Promise<void> {
    const epoch = this.catalog.group('g')!;
    for (const proxy of PROXIES) {
      if (!this.catalog.proxy(proxy.id)) this.apply({ putProxy: proxy });
    }
    const next = (epoch.epoch ?? 0) + 1;
    this.apply({ putGroup: { ...epoch, epoch: next, phase: GroupPhase.CHANGING } });
    const hasPosition = acknowledged !== undefined;
    const position = { term: TERM, sequence: acknowledged ?? 0 };
    const revocation = { group: 'g', epoch: next, hasPosition, position };
    this.ledger.confirm(this.catalog.proxy('p1')!, revocation);
    return this.createChanger().run();
  }

  /** Restarts p1: what it had acknowledged is not known any more. */
  restartProxy(): void {
    if (!this.catalog.proxy('p1')) this.apply({ putProxy: PROXIES[0]! });
    this.apply({ putProxy: { id: 'p1', incarnation: 'restarted' } });
  }

  /** Lets p2 confirm as well, having acknowledged nothing. */
  confirmAll(): void {
    this.ledger.confirm(PROXIES[1]!, { group: 'g', epoch: this.catalog.group('g')!.epoch });
  }

  /** Advances virtual time, in milliseconds. */
  run(durationMs: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + durationMs);
  }

  private createWatermarks(): CommitWatermarks {
    const { clock, catalog, administrator } = this;
    return new CommitWatermarks({
      clock,
      catalog,
      administrator,
      positionRequestedAfter: (_group, _epoch, time) =>
        this.reportedAt > time ? this.reportedPosition : undefined,
      log: () => undefined,
      isLeading: () => true,
    });
  }

  private createChanger(): PrimaryChanger {
    const { clock, catalog, ledger, monitor, administrator, watermarks } = this;
    const appoint = (_group: string, instance: string): Promise<whinyoke.AppointOutcome> => {
      const call = this.recordCall(instance);
      if (call === undefined) return Promise.resolve(AppointOutcome.NOT_SENT);
      this.appointed.push(instance);
      const outcome = this.onAppoint(instance) ?? AppointOutcome.APPOINTED;
      if (outcome === AppointOutcome.APPOINTED) this.endCallLater(call);
      return Promise.resolve(outcome);
    };
    const context: PrimaryChangerContext = {
      clock,
      catalog,
      ledger,
      monitor,
      caughtUp: this.caughtUp,
      departures: { isServing: ({ id }) => this.statuses.has(id ?? '') },
      document: { table: tableWithGroup('g') },
      regionByZone: new Map(),
      administrator,
      watermarks,
      appointmentLease: { appoint } as unknown as AppointmentLease,
      propose: (command) => Promise.resolve(this.apply(command)),
      log: () => undefined,
      isLeading: () => true,
    };
    return new PrimaryChanger(context, catalog.group('g')!);
  }

  private persistentConnectionTo({ id }: InstanceTarget): PersistentConnection | undefined {
    if (!this.statuses.has(id)) return undefined;
    return { connection: this.connectionTo(id), openedAt: this.openedAt.get(id) ?? -Infinity };
  }

  private connector(): InstanceConnector {
    return {
      connect: ({ id }) => {
        if (this.statuses.has(id)) return Promise.resolve({ connection: this.connectionTo(id) });
        return Promise.reject(new ConnectError(id, { failure: 'silent' }));
      },
    };
  }

  private connectionTo(id: string): InstanceConnection {
    const run = (command: { kind: string; term?: number }): Promise<InstanceAnswer> => {
      const state = this.statuses.get(id) ?? statusUpTo();
      const fencedTerm = command.kind === 'pause' ? command.term! : state.fencedTerm;
      this.statuses.set(id, { ...state, fencedTerm });
      const status = this.statuses.get(id)!;
      return Promise.resolve({ rows: [], signature: '-', state: 'idle', status });
    };
    return { run, close: () => undefined, closed: false, onClosed: undefined };
  }
}
