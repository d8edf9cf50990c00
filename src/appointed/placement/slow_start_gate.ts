/**
 * A proxy's check before it sends a request to a cold instance. Only the holder that the catalog names sends, under a lease of
 * control, what its window has room for (slow_start_budget.ts); all other proxies relay to it.
 *
 * Owns the lease and the windows of one run; they are never cleared, so that an instance that turns cold again goes on with its
 * window. Relies on control for the lease: unheard, it ends, and nothing is sent.
 */
import type { InstanceEntry } from '../catalog/catalog.js';
import type { SlowStart } from '../catalog/route_table.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Clock } from '../../runtime/runtime.js';
import { RequestWindow } from './request_window.js';
import {
  type SlowStartRules,
  SLOW_START_WINDOW_MS,
  maxColdInstanceRequests,
  usableColdInstanceRequests,
} from './slow_start_budget.js';

/** Refusals at one instance are reported once in this time, in milliseconds: one line a second can be read. */
const REFUSAL_LOG_INTERVAL_MS = 1000;

/** What the gate needs of its proxy. */
export interface SlowStartGateDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Identifier of this run among the runs of all proxies. */
  readonly incarnation: string;
  readonly rules: SlowStartRules;
  /** Slow start of a group; undefined where its instances may be fully used from their start. */
  slowStartOf(group: string): SlowStart | undefined;
  /** Whether this proxy said to control that it leaves: from then on it sends nothing. */
  isLeaving(): boolean;
}

/** Way of the requests for a cold instance. */
export interface ColdInstanceRoute {
  /** Address of the proxy that sends them; empty when none is known. */
  readonly holderAddress: string;
  /** Whether they may go that way now, as far as this proxy knows. */
  readonly canSend: boolean;
}

/** Ends the wait of a request for a connection. */
export type CancelReservation = () => void;

const NO_RESERVATION: CancelReservation = () => undefined;

/** Gate of one proxy. */
export class SlowStartGate {
  /** Requests to cold instances since the start: sent by this proxy, and refused. */
  readonly counts = { sent: 0, refused: 0 };
  private leaseUntil = -Infinity;
  private readonly windows = new Map<string, RequestWindow>();
  private readonly lastLoggedAt = new Map<string, number>();

  constructor(private readonly dependencies: SlowStartGateDependencies) {}

  /** Control granted the lease until then. */
  extendLease(expiresAt: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, expiresAt);
  }

  private isCold(instance: InstanceEntry): boolean {
    return this.slowStartOf(instance) !== undefined;
  }

  /** Way of a request for an instance; undefined for a warm one. */
  routeTo(instance: InstanceEntry, isUrgent: boolean): ColdInstanceRoute | undefined {
    const slowStart = this.slowStartOf(instance);
    if (!slowStart) return undefined;
    const holderAddress = instance.holderAddress ?? '';
    if (!this.isHolder(instance)) return { holderAddress, canSend: holderAddress !== '' };
    const now = this.dependencies.clock.now();
    const maxRequests = this.usableRequests(slowStart, isUrgent);
    return {
      holderAddress,
      canSend: this.canSend(now) && this.windowOf(instance).hasRoom(maxRequests, now),
    };
  }

  /**
   * Begins the wait of a request for a connection to an instance; undefined when the holder could not send it by then. Requests
   * that others have to send, or that a warm instance gets, wait here for nothing.
   */
  reserve(instance: InstanceEntry, isUrgent: boolean): CancelReservation | undefined {
    const isSentFromHere = this.isCold(instance) && this.isHolder(instance);
    if (!isSentFromHere) return NO_RESERVATION;
    if (this.routeTo(instance, isUrgent)?.canSend !== true) {
      this.recordRefusal(instance);
      return undefined;
    }
    const window = this.windowOf(instance);
    window.reservedCount++;
    return () => window.reservedCount--;
  }

  /** Counts a request that is sent to an instance now; false when it must not be sent. */
  admit(instance: InstanceEntry, isUrgent: boolean): boolean {
    const slowStart = this.slowStartOf(instance);
    if (!slowStart) return true;
    const now = this.dependencies.clock.now();
    const mayBeSent = this.isHolder(instance) && this.canSend(now);
    const maxRequests = this.usableRequests(slowStart, isUrgent);
    if (mayBeSent && this.windowOf(instance).tryAcquire(maxRequests, now)) {
      this.counts.sent++;
      return true;
    }
    this.recordRefusal(instance);
    return false;
  }

  /** Counts a request that was refused, and reports it now and then. */
  recordRefusal(instance: InstanceEntry): void {
    const { clock, log } = this.dependencies;
    const now = clock.now();
    const id = instance.id ?? '';
    this.counts.refused++;
    if (now - (this.lastLoggedAt.get(id) ?? -Infinity) < REFUSAL_LOG_INTERVAL_MS) return;
    this.lastLoggedAt.set(id, now);
    log(Events.coldInstanceRefused, {
      instance: id,
      group: instance.group ?? '',
      holder: instance.holder ?? '',
      is_holder: this.isHolder(instance),
      leased: this.canSend(now),
      refused: this.counts.refused,
    });
  }

  private slowStartOf({ isCold, group }: InstanceEntry): SlowStart | undefined {
    return isCold ? this.dependencies.slowStartOf(group ?? '') : undefined;
  }

  private isHolder({ holderIncarnation }: InstanceEntry): boolean {
    return holderIncarnation === this.dependencies.incarnation;
  }

  private canSend(now: number): boolean {
    return now < this.leaseUntil && !this.dependencies.isLeaving();
  }

  private usableRequests(slowStart: SlowStart, isUrgent: boolean): number {
    return usableColdInstanceRequests(
      maxColdInstanceRequests(slowStart, this.dependencies.rules),
      isUrgent,
    );
  }

  private windowOf({ id }: InstanceEntry): RequestWindow {
    let window = this.windows.get(id ?? '');
    if (!window) {
      window = new RequestWindow(SLOW_START_WINDOW_MS);
      this.windows.set(id ?? '', window);
    }
    return window;
  }
}
