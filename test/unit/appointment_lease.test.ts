/**
 * Guards against calls to the platform by a holder of the appointment lease that lost it, or that was stopped on the way, and
 * against calls for two instances of a group of which both may take effect.
 */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { AppointmentLease, type Proposer } from '../../src/appointed/failover/appointment_lease.js';
import { AppointmentPermits, PERMIT_MS } from '../../src/appointed/failover/appointment_permits.js';
import {
  CALL_LIFETIME_MS,
  PendingAppointments,
} from '../../src/appointed/failover/pending_appointments.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { Clock, MessageBody } from '../../src/runtime/runtime.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';

const { AppointOutcome, GroupPhase } = whinyoke;
const TARGET = 'i-1';
/** Time after which an answered call has no effect, with a margin. */
const CALL_END_MS = 1500;

/** One control machine; the replicated log and the platform are scripted. */
class ControlMachine {
  readonly scheduler = new Scheduler();
  readonly clock: Clock = {
    now: () => this.scheduler.now,
    setTimer: (delayMs, callback) => {
      const event = this.scheduler.schedule(delayMs, callback);
      return { cancel: () => this.scheduler.cancel(event) };
    },
  };
  /** Instance and token of each call that was sent. */
  readonly sent: string[] = [];
  readonly stages: unknown[] = [];
  isLeading = true;
  holdsLeaderLease = true;
  /** Called when the connection to the platform is open, before anything is sent. */
  onConnected: () => void | Promise<void> = () => undefined;
  /** Outcome of calls to the platform. */
  outcome = AppointOutcome.APPOINTED;
  /** Answers messages to other control machines. */
  answer: (body: MessageBody) => Promise<MessageBody> = () => Promise.reject(new Error('silent'));
  /** Outcome of proposals. */
  proposal: Proposer = (command) => Promise.resolve(this.log.apply(command));
  readonly permits: AppointmentPermits;
  readonly lease: AppointmentLease;

  constructor(
    readonly log: ReplicatedLog,
    readonly name: string,
  ) {
    const { clock } = this;
    const { catalog } = log;
    this.permits = new AppointmentPermits({
      clock,
      catalog,
      holdsLeaderLease: () => this.holdsLeaderLease,
    });
    this.lease = new AppointmentLease({
      self: { name, address: name },
      clock,
      catalog,
      messenger: { request: (_to, body) => this.answer(body), serve: () => undefined },
      appointer: {
        prepare: async (_group, instance, { token }) => {
          await this.onConnected();
          const send = (): Promise<whinyoke.AppointOutcome> => {
            this.sent.push(`${instance}/${token}`);
            return Promise.resolve(this.outcome);
          };
          return { send, discard: () => undefined };
        },
      },
      propose: (command) => this.proposal(command),
      permits: this.permits,
      term: () => 1,
      isLeading: () => this.isLeading,
      leaderAddress: () => 'leader',
      isInTouch: () => true,
      log: (_event, fields) => this.stages.push(fields?.['stage']),
    });
  }
}

class ReplicatedLog {
  readonly catalog = new Catalog();
  private index = 0;

  apply(command: whinyoke.ICatalogCommand): whinyoke.CatalogResult {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return whinyoke.CatalogResult.decode(this.catalog.apply(++this.index, bytes));
  }

  takeLease(holder: string): void {
    this.apply({ takeDuty: { holder, holderAddress: holder } });
  }

  /** Begins the next change of the group. */
  change(target = TARGET): void {
    const epoch = (this.catalog.group('g')?.epoch ?? 0) + 1;
    this.apply({ putGroup: { group: 'g', epoch, phase: GroupPhase.CHANGING } });
    this.choose(target);
  }

  choose(target: string): void {
    this.apply({ setTarget: { group: 'g', epoch: this.catalog.group('g')?.epoch, target } });
  }

  /** Ends the present change. */
  beginEpoch(primary: string): void {
    const epoch = (this.catalog.group('g')?.epoch ?? 0) + 1;
    this.apply({ putGroup: { group: 'g', epoch, phase: GroupPhase.STEADY, primary } });
  }
}

/** Recorded calls of the group. */
function callsOf({ catalog }: ReplicatedLog): readonly string[] {
  return catalog.pendingAppointment('g')?.calls ?? [];
}

function logWithChange(): ReplicatedLog {
  const log = new ReplicatedLog();
  log.apply({ putInstance: { id: TARGET, group: 'g', address: TARGET } });
  log.takeLease('control-1');
  log.change();
  return log;
}

void t.test('a holder that loses the leader lease while it connects sends nothing', async (t) => {
  const log = logWithChange();
  const control = new ControlMachine(log, 'control-1');
  t.equal(await control.lease.appoint('g', TARGET), AppointOutcome.APPOINTED);
  t.same(control.stages, ['intended', 'connected', 'sent', 'answered']);
  control.onConnected = () => {
    control.holdsLeaderLease = false;
  };
  t.equal(await control.lease.appoint('g', TARGET), AppointOutcome.NOT_SENT);
  t.same(control.sent, [`${TARGET}/1`]);
  t.match(control.stages.slice(4), ['intended', 'connected', 'withheld']);
});

void t.test('a holder whose lease was taken over while it connects sends nothing', async (t) => {
  const log = logWithChange();
  const control = new ControlMachine(log, 'control-1');
  control.onConnected = () => log.takeLease('control-2');
  t.equal(await control.lease.appoint('g', TARGET), AppointOutcome.NOT_SENT);
  t.same(control.sent, []);
});

void t.test('a holder that follows sends only while its permit lasts', async (t) => {
  const log = logWithChange();
  const leader = new ControlMachine(log, 'control-2');
  const holder = new ControlMachine(log, 'control-1');
  holder.isLeading = false;
  holder.holdsLeaderLease = false;
  let permitDelayMs = 1;
  const reply = async (body: MessageBody): Promise<MessageBody> => {
    const { appointPermitRequest } = body;
    const appointPermitReply = leader.lease.onPermitRequest(appointPermitRequest!);
    await holder.scheduler.runUntil(holder.scheduler.now + permitDelayMs);
    return { appointPermitReply };
  };
  holder.answer = reply;
  leader.answer = async ({ appointRequest }) => ({
    appointReply: await holder.lease.onRequest(appointRequest!),
  });
  t.equal(await leader.lease.appoint('g', TARGET), AppointOutcome.APPOINTED);
  t.same(holder.sent, [`${TARGET}/1`]);
  permitDelayMs = PERMIT_MS;
  t.equal(await leader.lease.appoint('g', TARGET), AppointOutcome.NOT_SENT, 'it came too late');
  permitDelayMs = 1;
  leader.holdsLeaderLease = false;
  t.equal(await leader.lease.appoint('g', TARGET), AppointOutcome.NOT_SENT, 'none was granted');
  leader.holdsLeaderLease = true;
  holder.answer = () => Promise.reject(new Error('silent'));
  t.equal(await leader.lease.appoint('g', TARGET), AppointOutcome.NOT_SENT, 'no answer');
  t.same(holder.sent, [`${TARGET}/1`]);
  t.same(leader.sent, []);
});

void t.test(
  'the leader takes the lease over once the permits of the holder have ended',
  async (t) => {
    const log = logWithChange();
    const leader = new ControlMachine(log, 'control-2');
    const pendingCall = (): string => callsOf(log).at(-1) ?? '';
    let isPermitted = false;
    leader.answer = () => {
      isPermitted = leader.permits.grant({ group: 'g', token: 1, id: pendingCall() });
      return Promise.reject(new Error('the connection was lost'));
    };
    const appointing = leader.lease.appoint('g', TARGET);
    await leader.scheduler.runUntil(PERMIT_MS);
    t.equal(isPermitted, true);
    t.equal(log.catalog.appointmentLeaseEntry.holder, 'control-1', 'the permit may still last');
    t.notOk(leader.permits.grant({ group: 'g', token: 1, id: pendingCall() }), 'no further one');
    await leader.scheduler.runUntil(2 * PERMIT_MS);
    t.equal(await appointing, AppointOutcome.APPOINTED);
    t.match(log.catalog.appointmentLeaseEntry, { holder: 'control-2', token: 2 });
    t.same(leader.sent, [`${TARGET}/2`]);
  },
);

void t.test('calls for two instances of a group can not both take effect', async (t) => {
  const log = logWithChange();
  const control = new ControlMachine(log, 'control-1');
  control.outcome = AppointOutcome.UNKNOWN;
  t.equal(await control.lease.appoint('g', TARGET), AppointOutcome.UNKNOWN);
  log.choose('i-2');
  t.equal(await control.lease.appoint('g', 'i-2'), AppointOutcome.NOT_SENT);
  log.takeLease('control-2');
  const successor = new ControlMachine(log, 'control-2');
  t.equal(await successor.lease.appoint('g', 'i-2'), AppointOutcome.NOT_SENT, 'of no holder');
  log.choose(TARGET);
  t.equal(await successor.lease.appoint('g', TARGET), AppointOutcome.APPOINTED);
  t.equal(callsOf(log).length, 2);
  t.same([...control.sent, ...successor.sent], [`${TARGET}/1`, `${TARGET}/2`]);

  log.beginEpoch(TARGET);
  t.equal(callsOf(log).length, 2, 'either may have made it the primary');
  await successor.scheduler.runUntil(CALL_END_MS);
  t.equal(callsOf(log).length, 1, 'the second one was answered');
  log.change('i-2');
  t.equal(await successor.lease.appoint('g', 'i-2'), AppointOutcome.NOT_SENT, 'in later epochs');
});

void t.test('a call that has no effect does not bind the next one', async (t) => {
  const log = logWithChange();
  const control = new ControlMachine(log, 'control-1');
  const { TRY_LATER, NOT_RUNNING, NOT_SENT } = AppointOutcome;
  for (const outcome of [TRY_LATER, NOT_RUNNING, NOT_SENT]) {
    control.outcome = outcome;
    t.equal(await control.lease.appoint('g', TARGET), outcome);
    t.equal(log.catalog.pendingAppointment('g'), undefined);
  }
  control.outcome = AppointOutcome.APPOINTED;
  await control.lease.appoint('g', TARGET);
  t.equal(callsOf(log).length, 1);
  await control.scheduler.runUntil(control.scheduler.now + CALL_END_MS);
  t.equal(log.catalog.pendingAppointment('g'), undefined, 'answered, and without effect');
});

void t.test('only the target of a change is called for, by the holder of the lease', async (t) => {
  const log = logWithChange();
  const call = { group: 'g', instance: TARGET, token: 1 };
  t.notOk(log.apply({ beginAppointmentCall: { ...call, instance: 'i-2' } }).changed);
  t.notOk(log.apply({ beginAppointmentCall: { ...call, token: 2 } }).changed);
  t.ok(log.apply({ beginAppointmentCall: call }).changed);
  log.beginEpoch(TARGET);
  t.notOk(log.apply({ beginAppointmentCall: call }).changed, 'the change is over');
  await Promise.resolve();
});

void t.test('pending appointments are part of a snapshot', async (t) => {
  const log = logWithChange();
  log.apply({
    beginAppointmentCall: { group: 'g', instance: TARGET, token: 1, id: 'control-1/1/1' },
  });
  log.apply({
    beginAppointmentCall: { group: 'g', instance: TARGET, token: 1, id: 'control-1/1/2' },
  });
  const restored = new Catalog();
  restored.restore(0, log.catalog.serialize());
  t.match(restored.pendingAppointment('g'), { instance: TARGET, calls: callsOf(log) });
  t.equal(callsOf(log).length, 2);
  await Promise.resolve();
});

void t.test(
  'a call without a known outcome binds until it can no longer take effect',
  async (t) => {
    const log = logWithChange();
    const control = new ControlMachine(log, 'control-1');
    control.outcome = AppointOutcome.UNKNOWN;
    await control.lease.appoint('g', TARGET);
    const pending = new PendingAppointments({
      clock: control.clock,
      catalog: log.catalog,
      propose: (command) => Promise.resolve(log.apply(command)),
      log: () => undefined,
    });
    const checkAt = async (time: number): Promise<number> => {
      await control.scheduler.runUntil(time);
      pending.endOverdue();
      await Promise.resolve();
      return callsOf(log).length;
    };
    t.equal(await checkAt(0), 1);
    t.equal(await checkAt(CALL_LIFETIME_MS / 2), 1);
    await control.lease.appoint('g', TARGET);
    t.equal(await checkAt(CALL_LIFETIME_MS / 2), 2);
    t.equal(await checkAt(CALL_LIFETIME_MS + 1), 1, 'the later call binds longer');
    pending.beginLeadership();
    t.equal(await checkAt(CALL_LIFETIME_MS * 1.5), 1, 'a new leader does not know since when');
    t.equal(await checkAt(CALL_LIFETIME_MS * 2.6), 0);
  },
);

void t.test('a call for an instance that has ended binds nothing', async (t) => {
  const log = logWithChange();
  log.apply({ beginAppointmentCall: { group: 'g', instance: TARGET, token: 1 } });
  const pending = new PendingAppointments({
    clock: new ControlMachine(log, 'control-1').clock,
    catalog: log.catalog,
    propose: (command) => Promise.resolve(log.apply(command)),
    log: () => undefined,
  });
  const { GONE: state } = whinyoke.InstanceState;
  log.apply({ putInstance: { ...log.catalog.instance(TARGET), state } });
  pending.endOverdue();
  t.equal(callsOf(log).length, 1, 'it has deregistered and may serve on');
  log.apply({ endInstance: { instance: TARGET } });
  pending.endOverdue();
  await Promise.resolve();
  t.equal(log.catalog.pendingAppointment('g'), undefined);
});

void t.test('no other instance becomes primary while a call may appoint one', async (t) => {
  const log = logWithChange();
  log.apply({ beginAppointmentCall: { group: 'g', instance: TARGET, token: 1 } });
  log.beginEpoch('i-2');
  t.match(log.catalog.group('g'), { epoch: 1, phase: GroupPhase.CHANGING });
  log.beginEpoch(TARGET);
  t.match(log.catalog.group('g'), { epoch: 2, primary: TARGET });
  await Promise.resolve();
});

void t.test('a deposed holder reports to the leader that its call was not sent', async (t) => {
  const log = logWithChange();
  const leader = new ControlMachine(log, 'control-2');
  const former = new ControlMachine(log, 'control-1');
  former.onConnected = () => {
    former.holdsLeaderLease = false;
    former.isLeading = false;
    former.proposal = () => Promise.reject(new Error('not the leader'));
  };
  let reports = 0;
  former.answer = async ({ appointPermitRequest, appointCallEndRequest }) => {
    if (appointPermitRequest) return { appointPermitReply: { granted: false } };
    if (++reports === 1) throw new Error('the report was lost');
    return { appointCallEndReply: await leader.lease.onCallEnd(appointCallEndRequest!) };
  };
  await t.rejects(former.lease.appoint('g', TARGET), /not the leader/);
  t.equal(callsOf(log).length, 1);
  await former.scheduler.runUntil(CALL_END_MS);
  t.equal(callsOf(log).length, 0);
  t.equal(reports, 2);
});

void t.test(
  'a call that may have been recorded without its caller learning it is ended',
  async (t) => {
    const log = logWithChange();
    const leader = new ControlMachine(log, 'control-2');
    const former = new ControlMachine(log, 'control-1');
    former.proposal = (command) => {
      former.isLeading = false;
      log.apply(command);
      return Promise.reject(new Error('leadership lost before the proposal was applied'));
    };
    former.answer = async ({ appointCallEndRequest }) => ({
      appointCallEndReply: await leader.lease.onCallEnd(appointCallEndRequest!),
    });
    await t.rejects(former.lease.appoint('g', TARGET), /leadership lost/);
    t.equal(callsOf(log).length, 1);
    await former.scheduler.runUntil(CALL_END_MS);
    t.equal(callsOf(log).length, 0);
    t.same(former.sent, []);
  },
);

void t.test('a lost holder that had no permit leaves no pending call', async (t) => {
  const log = logWithChange();
  const leader = new ControlMachine(log, 'control-2');
  const appointing = leader.lease.appoint('g', TARGET);
  await leader.scheduler.runUntil(2 * PERMIT_MS);
  t.equal(await appointing, AppointOutcome.APPOINTED);
  log.beginEpoch(TARGET);
  t.equal(log.catalog.pendingAppointment('g'), undefined, 'the lost holder can not have called');
  log.change('i-2');
  t.equal(await leader.lease.appoint('g', 'i-2'), AppointOutcome.APPOINTED, 'the next failure');
});

void t.test('a holder whose permits always come too late is replaced', async (t) => {
  const log = logWithChange();
  const leader = new ControlMachine(log, 'control-2');
  const holder = new ControlMachine(log, 'control-1');
  holder.isLeading = false;
  holder.holdsLeaderLease = false;
  holder.answer = async ({ appointPermitRequest }) => {
    const appointPermitReply = leader.lease.onPermitRequest(appointPermitRequest!);
    await holder.scheduler.runUntil(holder.scheduler.now + PERMIT_MS);
    return { appointPermitReply };
  };
  leader.answer = async ({ appointRequest }) => ({
    appointReply: await holder.lease.onRequest(appointRequest!),
  });
  const outcomes = new Set<whinyoke.AppointOutcome>();
  for (let attempt = 0; attempt < 40; attempt++) {
    const appointing = leader.lease.appoint('g', TARGET).then((outcome) => outcomes.add(outcome));
    await leader.scheduler.runUntil(leader.scheduler.now + 2 * PERMIT_MS);
    await appointing;
  }
  t.ok(outcomes.has(AppointOutcome.APPOINTED), 'in 40 attempts');
});

void t.test(
  'a new leader takes the lease over once permits of the former leader have ended',
  async (t) => {
    const log = logWithChange();
    const former = new ControlMachine(log, 'control-2');
    const successor = new ControlMachine(log, 'control-3');
    const call = { group: 'g', token: 1, id: 'control-2/1/1' };
    log.apply({ beginAppointmentCall: { ...call, instance: TARGET } });
    t.equal(former.permits.grant(call), true);
    // The former leader grants a candidate its vote; the successor can't reach the holder.
    former.isLeading = false;
    former.holdsLeaderLease = false;
    successor.lease.beginLeadership();
    const appointing = successor.lease.appoint('g', TARGET);
    await successor.scheduler.runUntil(PERMIT_MS - 1);
    t.same(successor.sent, [], 'the holder may still call');
    await successor.scheduler.runUntil(3 * PERMIT_MS);
    t.equal(await appointing, AppointOutcome.APPOINTED);
  },
);
