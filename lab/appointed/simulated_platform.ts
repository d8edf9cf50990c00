/**
 * The users' platform, and calls to it on their way. The stages of a call are events of their own, so that faults can come
 * between them: the platform accepts the connection, the caller learns of it, the call is sent, delivered, and answered.
 */
import type {
  AppointmentAuthority,
  PrimaryAppointer,
} from '../../src/appointed/failover/primary_appointer.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { Scheduler } from '../simulation/scheduler.js';
import type { VirtualNetwork } from '../simulation/virtual_network.js';
import type { VirtualProcess } from '../simulation/virtual_process.js';
import type { AppointedJudge } from './appointed_judge.js';
import type { EmulatedGroup } from './emulated_group.js';

const { AppointOutcome } = whinyoke;

const PLATFORM_HOST = '10.200.0.1';
/** Time for a connection to the platform, and for the answer to a call, in milliseconds. */
const CALL_TIMEOUT_MS = 1500;

/** A call of a control machine. */
export interface PlatformCall {
  /** Host of the caller. */
  readonly host: string;
  readonly group: string;
  readonly instance: string;
}

/** What the network and the platform do to a call, as a fault. */
export interface CallFate {
  /** By how much later it is delivered, in milliseconds. */
  readonly deliveryMs?: number;
  /** By how much later its answer comes, in milliseconds; infinite if it never comes. */
  readonly answerMs?: number;
}

/** Takes part in calls, as a fault. */
export interface CallObserver {
  /** The platform has accepted the connection; its caller does not know yet. */
  onAccepted?(call: PlatformCall): void;
  /** The caller learns that it is connected. */
  onConnected?(call: PlatformCall): void;
  /** The caller has made sure that it may call, and writes next; if it is stopped here, it writes when it goes on. */
  onChecked?(call: PlatformCall): void;
  /** The call is on its way. */
  onSent?(call: PlatformCall): CallFate;
}

/** What the platform shares with the rest of the simulation. */
export interface PlatformSurroundings {
  readonly scheduler: Scheduler;
  readonly network: VirtualNetwork;
  readonly judge: AppointedJudge;
  readonly groups: readonly EmulatedGroup[];
}

/** The platform of one simulation. */
export class SimulatedPlatform {
  private readonly observers = new Set<CallObserver>();

  constructor(private readonly surroundings: PlatformSurroundings) {}

  /** Lets an observer take part in calls until the returned function is called. */
  observe(observer: CallObserver): () => void {
    this.observers.add(observer);
    return () => void this.observers.delete(observer);
  }

  /** The way on which a process calls the platform. */
  appointerFor(process: VirtualProcess): PrimaryAppointer {
    return {
      prepare: async (group, instance, authority) => {
        const call = { host: process.host, group, instance };
        if (!(await this.connect(process, call))) return undefined;
        return {
          send: () => this.send(process, call, authority),
          discard: () => undefined,
        };
      },
    };
  }

  /** Resolves with whether the platform accepted a connection in time. */
  private connect(process: VirtualProcess, call: PlatformCall): Promise<boolean> {
    const { network, scheduler } = this.surroundings;
    const { host } = call;
    return new Promise((resolve) => {
      process.clock.setTimer(CALL_TIMEOUT_MS, () => resolve(false));
      if (network.isCut(host, PLATFORM_HOST)) return;
      const roundTripMs = network.delay(host, PLATFORM_HOST) + network.delay(PLATFORM_HOST, host);
      scheduler.schedule(roundTripMs, () => {
        for (const observer of [...this.observers]) observer.onAccepted?.(call);
        process.deliver(() => {
          for (const observer of [...this.observers]) observer.onConnected?.(call);
          resolve(true);
        });
      });
    });
  }

  private send(
    process: VirtualProcess,
    call: PlatformCall,
    { holder, token }: AppointmentAuthority,
  ): Promise<whinyoke.AppointOutcome> {
    return new Promise((resolve) => {
      process.clock.setTimer(CALL_TIMEOUT_MS, () => resolve(AppointOutcome.UNKNOWN));
      for (const observer of [...this.observers]) observer.onChecked?.(call);
      process.deliver(() => {
        this.surroundings.judge.onCallSent(holder, token);
        this.transmit(process, call, resolve);
      });
    });
  }

  /** Carries a call to the platform, whatever becomes of its caller, and the answer back. */
  private transmit(
    process: VirtualProcess,
    call: PlatformCall,
    onAnswer: (outcome: whinyoke.AppointOutcome) => void,
  ): void {
    const { network, scheduler } = this.surroundings;
    const { host } = call;
    const { deliveryMs, answerMs } = this.fateOf(call);
    if (network.isCut(host, PLATFORM_HOST)) return;
    scheduler.schedule(network.delay(host, PLATFORM_HOST) + deliveryMs, () => {
      const outcome = this.carryOut(call);
      if (answerMs === Infinity) return;
      scheduler.schedule(network.delay(PLATFORM_HOST, host) + answerMs, () =>
        process.deliver(() => onAnswer(outcome)),
      );
    });
  }

  private fateOf(call: PlatformCall): Required<CallFate> {
    const total = { deliveryMs: 0, answerMs: 0 };
    for (const observer of [...this.observers]) {
      const { deliveryMs = 0, answerMs = 0 } = observer.onSent?.(call) ?? {};
      total.deliveryMs = Math.max(total.deliveryMs, deliveryMs);
      total.answerMs = Math.max(total.answerMs, answerMs);
    }
    return total;
  }

  private carryOut({ group, instance }: PlatformCall): whinyoke.AppointOutcome {
    const found = this.surroundings.groups.find(({ name }) => name === group);
    return found?.appoint(instance) ?? AppointOutcome.NOT_RUNNING;
  }
}
