/** An emulated group: replication between its instances, and appointments from outside. */
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { RandomSource } from '../../src/runtime/runtime.js';
import type { Scheduler } from '../simulation/scheduler.js';
import type { VirtualNetwork } from '../simulation/virtual_network.js';
import { VirtualProcess } from '../simulation/virtual_process.js';
import type { AppointedJudge } from './appointed_judge.js';
import {
  EmulatedInstance,
  type EmulatedInstanceOptions,
  type InstanceStorage,
} from './emulated_instance.js';

/** Where an instance runs. */
export interface InstanceSite {
  readonly options: EmulatedInstanceOptions;
  readonly host: string;
}

/** When the first incarnations started, in Unix milliseconds. */
const FIRST_BORN = 1_800_000_000_000;
/** Time that an appointment takes, in milliseconds. */
const APPOINT_MS = 300;
const REPLICATION_MS = 10;
/** A replaced primary that reaches the new one learns of it after this time, in milliseconds. */
const LEARN_MS = 1000;

/** One machine with an instance. */
export class InstanceMachine {
  readonly storage: InstanceStorage;
  /** Heartbeats that its incarnation has sent. */
  beats = 0;
  /** Whether it has deregistered, and sends no more heartbeats. */
  hasDeregistered = false;
  current: EmulatedInstance | undefined;

  constructor(
    readonly site: InstanceSite,
    isPrimary: boolean,
    born: number,
  ) {
    const role = isPrimary ? 'primary' : 'replica';
    this.storage = { log: [], role, term: 1, born, isWhole: true };
  }

  /** Forgets everything: its next start is that of another incarnation. */
  lose(now: number): void {
    const { storage } = this;
    Object.assign(storage, { log: [], role: 'replica', term: 0, isWhole: false });
    storage.born = Math.max(storage.born + 1, FIRST_BORN + Math.round(now));
    this.beats = 0;
  }

  /** The running instance. */
  get running(): EmulatedInstance | undefined {
    return this.current?.process.alive === true ? this.current : undefined;
  }
}

/** All instances of one group. */
export class EmulatedGroup {
  private members: readonly InstanceMachine[];
  private appointing: string | undefined;
  /** Whether any of its instances has started more than once. */
  hasRestarted = false;

  constructor(
    readonly name: string,
    sites: readonly InstanceSite[],
    private readonly scheduler: Scheduler,
    private readonly network: VirtualNetwork,
    private readonly judge: AppointedJudge,
    private readonly newRandom: () => RandomSource,
    tellsBorn: boolean,
  ) {
    const born = tellsBorn ? FIRST_BORN : 0;
    this.members = sites.map((site, index) => new InstanceMachine(site, index === 0, born));
  }

  /** All machines that have not left for good. */
  get machines(): readonly InstanceMachine[] {
    return this.members;
  }

  /** Adds and starts a replica that is empty. */
  add(site: InstanceSite): InstanceMachine {
    const machine = new InstanceMachine(site, false, 0);
    Object.assign(machine.storage, { term: 0, isWhole: false });
    this.members = [...this.members, machine];
    this.startMachine(machine);
    return machine;
  }

  /** Ends an instance for good; its log goes with it. */
  remove(machine: InstanceMachine): void {
    machine.running?.process.kill();
    this.members = this.members.filter((other) => other !== machine);
  }

  /** Whether an instance may lose its log: all others run, and none of them lacks what it had before. */
  canLose(machine: InstanceMachine): boolean {
    const others = this.machines.filter((other) => other !== machine);
    return others.every((other) => other.running !== undefined && other.storage.isWhole);
  }

  /** Starts all instances, and replication. */
  start(): void {
    for (const machine of this.machines) this.startMachine(machine);
    this.replicateSoon();
  }

  /** Starts an instance with the log that it had. */
  startMachine(machine: InstanceMachine): void {
    if (machine.running) return;
    this.hasRestarted ||= machine.current !== undefined;
    const process = new VirtualProcess(machine.site.host, this.scheduler, this.newRandom());
    const { storage } = machine;
    const leaderTerm = Math.max(...this.machines.map((other) => other.storage.term));
    if (storage.term < leaderTerm) storage.role = 'replica';
    machine.current = new EmulatedInstance(machine.site.options, process, storage, this.judge, () =>
      this.replicate(),
    );
  }

  /** The running primary of the highest term. */
  get leader(): EmulatedInstance | undefined {
    const primaries = this.machines
      .flatMap((machine) => machine.running ?? [])
      .filter((instance) => instance.storage.role === 'primary');
    return primaries.sort((left, right) => right.storage.term - left.storage.term)[0];
  }

  /** Makes an instance the primary some time later. */
  appoint(id: string): whinyoke.AppointOutcome {
    const { AppointOutcome } = whinyoke;
    const machine = this.machines.find((item) => item.site.options.id === id);
    const instance = machine?.running;
    if (!instance) return AppointOutcome.NOT_RUNNING;
    const isLeading = this.leader === instance;
    if (isLeading || this.appointing === id) return AppointOutcome.APPOINTED;
    this.appointing = id;
    this.scheduler.schedule(APPOINT_MS, () => {
      this.appointing = undefined;
      if (machine.running !== instance) return;
      const highest = Math.max(...this.machines.map((item) => item.storage.term));
      instance.lead(highest + 1);
      this.judge.onAppointed(instance);
      this.retireOthers(instance);
    });
    return AppointOutcome.APPOINTED;
  }

  /** A replaced primary that can reach the new one becomes a replica after a while. */
  private retireOthers(leader: EmulatedInstance): void {
    this.scheduler.schedule(LEARN_MS, () => {
      for (const machine of this.machines) {
        const other = machine.running;
        if (!other || other === leader || other.storage.role !== 'primary') continue;
        const isReached = !this.isCut(leader, other) && other.storage.term < leader.storage.term;
        if (isReached) other.followOthers();
        else if (other.storage.term < leader.storage.term) this.retireOthers(leader);
      }
    });
  }

  private replicateSoon(): void {
    this.scheduler.schedule(REPLICATION_MS, () => {
      this.replicate();
      this.replicateSoon();
    });
  }

  /** Every primary sends its log to all others that it reaches. */
  private replicate(): void {
    for (const machine of this.machines) {
      const primary = machine.running;
      if (primary?.storage.role !== 'primary' || !primary.process.running) continue;
      for (const other of this.machines) {
        if (other !== machine) this.send(primary, other);
      }
    }
  }

  private send(primary: EmulatedInstance, target: InstanceMachine): void {
    const from = primary.process.host;
    const to = target.site.host;
    if (this.network.isCut(from, to)) return;
    this.scheduler.schedule(this.network.delay(from, to), () => {
      const replica = target.running;
      if (!replica?.process.running || this.network.isCut(from, to)) return;
      const isReceived = primary.storage.role === 'primary' && replica.receiveFrom(primary);
      const { length } = replica.storage.log;
      if (!isReceived || this.network.isCut(to, from)) return;
      this.scheduler.schedule(this.network.delay(to, from), () =>
        primary.process.deliver(() => primary.confirmUpTo(length)),
      );
    });
  }

  private isCut(left: EmulatedInstance, right: EmulatedInstance): boolean {
    const [from, to] = [left.process.host, right.process.host];
    return this.network.isCut(from, to) || this.network.isCut(to, from);
  }
}
