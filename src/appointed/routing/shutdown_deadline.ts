/**
 * The end of a process that shuts down, as a time limit of its requests: each request that is started is answered before it, and one
 * that may need longer is refused at once. Before a shutdown begins there is no limit.
 */
import type { Clock } from '../../runtime/runtime.js';
import type { Route } from '../catalog/route_table.js';

/** What a request still has to do, which determines the time that it needs until the shutdown ends. */
export type ShutdownNeed =
  /** A statement without effects, which can be refused at any time. */
  | 'read'
  /** A write, a COMMIT or a statement before it: without an answer its outcome is unknown. */
  | 'write'
  /** A BEGIN: a statement and a COMMIT follow at least. */
  | 'transaction';

/** Largest part of the time for a shutdown that is reserved for the answer to one statement, however long its timeout is. */
const MAX_RESERVE_FRACTION = 0.25;

/** Time limit that a shutdown sets. */
export class ShutdownDeadline {
  private endsAt = Infinity;
  private maxReserveMs = Infinity;
  private hasRefusedRequests = false;

  constructor(private readonly clock: Clock) {}

  /** Begins a shutdown that ends `durationMs` from now. */
  begin(durationMs: number): void {
    this.endsAt = this.clock.now() + durationMs;
    this.maxReserveMs = durationMs * MAX_RESERVE_FRACTION;
  }

  /** Ends the time now: nothing may be started or sent any more. */
  expire(): void {
    this.endsAt = Math.min(this.endsAt, this.clock.now());
  }

  /** Milliseconds until every request must be answered; infinite if the process does not shut down. */
  get remainingMs(): number {
    return this.endsAt - this.clock.now();
  }

  /** Whether a request has been refused because too little time was left. */
  get hasRefused(): boolean {
    return this.hasRefusedRequests;
  }

  /** Whether a request on a route may be started now; otherwise it must be refused, which is remembered. */
  admits(need: ShutdownNeed, route: Route): boolean {
    if (this.allows(need, route)) return true;
    this.hasRefusedRequests = true;
    return false;
  }

  /** Whether a request on a route would be started now. */
  allows(need: ShutdownNeed, route: Route): boolean {
    return this.remainingMs >= this.neededMs(need, route);
  }

  /** Whether an answer would come in time if it takes as long as its timeout. */
  coversTimeout(timeoutMs: number): boolean {
    return this.remainingMs >= Math.min(timeoutMs, this.maxReserveMs);
  }

  private neededMs(need: ShutdownNeed, { timeoutMs, targetLatencyMs }: Route): number {
    const writeMs = Math.min(timeoutMs, this.maxReserveMs);
    switch (need) {
      case 'read':
        return Math.min(writeMs, targetLatencyMs);
      case 'write':
        return writeMs;
      case 'transaction':
        return 2 * writeMs;
    }
  }
}
