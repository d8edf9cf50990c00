/**
 * DECISION: what one proxy may run for one tenant: its reserve, the requests that wait, and how many are to be expected. Owns these;
 * relies on nothing that may fail.
 *
 * Answers: operations of one tenant at one proxy, none of which should wait for a trip to the leader.
 * Inputs: times of operations (ms), the tenant's budget (operations, ms), grants of the leader (operations).
 * Rule: the reserve should last for the budget's `reserveMs` at the smoothed rate of operations; it is renewed when half of
 * it is used or half of its life is over. What nobody expects to use goes back to the leader.
 */
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { RefusalCause } from '../routing/refusal_cause.js';
import { type QuotaRules, RESERVE_LIFE_MS, quotaBudget } from './operation_budget.js';
import type { AllowanceDemand } from './operation_ledger.js';
import type { OperationLimit } from './tenant.js';

/** How a request for an operation ended. */
export type OperationVerdict =
  | { readonly isGranted: true }
  /** Nothing may run; the caller should come back later. */
  | { readonly isGranted: false; readonly cause: RefusalCause };

/** A request that waits for an allowance. */
interface WaitingOperation {
  /** Ends the wait. */
  settle(verdict: OperationVerdict): void;
}

/** The operation may run. */
export const GRANTED: OperationVerdict = { isGranted: true };

/** Time over which the rate of operations is smoothed, in milliseconds. Guess, not measured. */
const RATE_WINDOW_MS = 2000;
/** A reserve is renewed when less than this fraction of its life is left. Guess, not measured. */
const RENEWAL_FRACTION = 0.5;
/** A reserve is filled up when at most this fraction of the wanted operations is left. Guess, not measured. */
const LOW_FRACTION = 0.5;
/** Below so many expected operations nothing is kept in reserve. Guess, not measured. */
const LEAST_EXPECTED = 0.3;

/** Allowance of one tenant at one proxy. */
export class TenantAllowance {
  /** Requests that wait for the leader. */
  readonly waiting = new Set<WaitingOperation>();
  private reserve = 0;
  private reserveUntil = -Infinity;
  private operationsPerSecond = 0;
  private notedAt = 0;
  /** When a log line last reported that the tenant is over its limit. */
  refusalLoggedAt = -Infinity;
  /** Until when the leader has nothing for this tenant. */
  private exhaustedUntil = -Infinity;
  /** Most that all proxies together may hold. */
  private mostHeld = 0;
  /** For how long a reserve should last, in milliseconds. */
  private horizonMs = 0;
  /** Operations that were counted, or held, and will not run; the leader takes them back. */
  private unused = 0;

  constructor(
    /** Name of the tenant. */
    readonly tenant: string,
    /** When an operation was asked for last. */
    public usedAt: number,
  ) {}

  /** Notes an operation, with the limit in force. */
  note(limit: OperationLimit, rules: QuotaRules, now: number): void {
    this.usedAt = now;
    this.decay(now);
    this.operationsPerSecond += MILLISECONDS_PER_SECOND / RATE_WINDOW_MS;
    const { reserves, reserveMs } = quotaBudget(limit, rules);
    this.mostHeld = reserves;
    this.horizonMs = reserveMs;
  }

  /** Takes one operation out of the reserve; false when there is none. */
  takeReserve(now: number): boolean {
    if (this.reserve === 0 || now >= this.reserveUntil) return false;
    this.reserve--;
    return true;
  }

  /** Whether a reserve is held that has not ended. */
  holdsReserve(now: number): boolean {
    return this.heldReserve(now) > 0;
  }

  /** Notes an operation that did not run. It can't be used here, since the leader counts it as used. */
  giveBack(): void {
    this.unused++;
  }

  /** Milliseconds until the leader may have something again. */
  exhaustedFor(now: number): number {
    return Math.max(0, this.exhaustedUntil - now);
  }

  /** Whether the leader should be asked, also when nothing waits. */
  wantsReserve(now: number): boolean {
    const wanted = this.wantedReserve(now);
    // What nobody expects to use here would be missing elsewhere, and would be lost when it ends.
    if (this.unused > 0 || this.heldReserve(now) > wanted) return true;
    if (wanted === 0 || this.exhaustedFor(now) > 0) return false;
    const isLow = this.heldReserve(now) <= wanted * LOW_FRACTION;
    return isLow || this.reserveUntil - now < RESERVE_LIFE_MS * RENEWAL_FRACTION;
  }

  /** Content of a request that is sent now. What it gives up may not be used any more, whether the request arrives or not. */
  ask(now: number): AllowanceDemand {
    const wantedReserve = this.wantedReserve(now);
    const held = Math.min(this.heldReserve(now), wantedReserve);
    const returned = this.unused + this.heldReserve(now) - held;
    this.reserve = held;
    this.unused = 0;
    return { waiting: this.waiting.size, returned, held, wantedReserve };
  }

  /** Lets waiting requests run. */
  settle(granted: number): void {
    let left = granted;
    for (const operation of this.waiting) {
      // What is left over is lost: those who waited have gone, or were served by the answer to another request.
      if (left-- === 0) return;
      this.waiting.delete(operation);
      operation.settle(GRANTED);
    }
  }

  /** Adds to the reserve, and renews it, after a request that was sent at `askedAt`. */
  addReserve(added: number, askedAt: number, now: number): void {
    this.reserve = this.heldReserve(now) + added;
    this.reserveUntil = askedAt + RESERVE_LIFE_MS;
  }

  /** Notes that the leader has nothing for this tenant until then. */
  noteExhausted(until: number): void {
    this.exhaustedUntil = until;
  }

  private heldReserve(now: number): number {
    return now < this.reserveUntil ? this.reserve : 0;
  }

  private wantedReserve(now: number): number {
    this.decay(now);
    const expected = (this.operationsPerSecond * this.horizonMs) / MILLISECONDS_PER_SECOND;
    return expected < LEAST_EXPECTED ? 0 : Math.min(this.mostHeld, Math.ceil(expected));
  }

  private decay(now: number): void {
    this.operationsPerSecond *= Math.exp(-(now - this.notedAt) / RATE_WINDOW_MS);
    this.notedAt = now;
  }
}
