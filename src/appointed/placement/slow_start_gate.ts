/**
 * A proxy's admission check for requests to a cold instance. Only the holder named by the catalog sends such requests, under a
 * lease from control and within its sliding window (slow_start_budget.ts); all other proxies relay to the holder.
 *
 * The lease expires when control is unreachable, after which nothing is sent. Windows are never cleared, so that an instance
 * that becomes cold again continues with its old window.
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

/** Minimum interval between log lines about refusals for the same instance. */
const REFUSAL_LOG_INTERVAL_MS = 1000;

/** What the gate needs from its proxy. */
export interface SlowStartGateDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Identifier of this incarnation among those of all proxies. */
  readonly incarnation: string;
  readonly rules: SlowStartRules;
  /** Slow start settings of a group; undefined if its instances may be fully used from their start. */
  slowStartOf(group: string): SlowStart | undefined;
  /** Whether this proxy has announced its shutdown to control and therefore sends nothing to cold instances. */
  isLeaving(): boolean;
}

/** How requests reach a cold instance. */
export interface ColdInstanceRoute {
  /** Address of the lease holder; empty if none is known. */
  readonly holderAddress: string;
  /** Whether requests can be sent now, as far as this proxy knows. */
  readonly canSend: boolean;
}

/** Releases the reservation of a request that waited for a connection. */
export type CancelReservation = () => void;

const NO_RESERVATION: CancelReservation = () => undefined;

export class SlowStartGate {
  /** Requests to cold instances since the start of the process. */
  readonly counts = { sent: 0, refused: 0 };
  private leaseUntil = -Infinity;
  private readonly windows = new Map<string, RequestWindow>();
  private readonly lastLoggedAt = new Map<string, number>();

  constructor(private readonly dependencies: SlowStartGateDependencies) {}

  /** Extends the lease granted by control; an earlier expiry than the current one has no effect. */
  extendLease(expiresAt: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, expiresAt);
  }

  private isCold(instance: InstanceEntry): boolean {
    return this.slowStartOf(instance) !== undefined;
  }

  /** Route of a request to an instance; undefined for a warm one. */
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
   * Reserves capacity for a request while it waits for a connection to an instance; undefined if the holder has none left.
   * Requests to warm instances and requests that another proxy sends need no reservation.
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

  /** Counts a request that is sent to an instance now; returns false if it must not be sent. */
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

  /** Counts a refused request and logs it at most once per interval. */
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
