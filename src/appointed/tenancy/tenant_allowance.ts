/** What one proxy may run for one tenant: its reserve, the requests that wait, and how many are to be expected. */
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
export interface WaitingOperation {
  settle(verdict: OperationVerdict): void;
}

/** The operation may run. */
export const GRANTED: OperationVerdict = { isGranted: true };

/** Time over which the rate of operations is smoothed, in milliseconds. */
const RATE_WINDOW_MS = 2000;
/** A reserve is renewed when less than this part of its life is left. */
const RENEWAL_PART = 0.5;
/** Below so many expected operations nothing is kept in reserve. */
const LEAST_EXPECTED = 0.3;
const MILLISECONDS = 1000;

/** Allowance of one tenant at one proxy. */
export class TenantAllowance {
  readonly waiting = new Set<WaitingOperation>();
  private reserve = 0;
  private reserveUntil = -Infinity;
  private operationsPerSecond = 0;
  private notedAt = 0;
  /** When a log line told last that the tenant is over its limit. */
  toldDryAt = -Infinity;
  /** Until when the leader has nothing for this tenant. */
  private dryUntil = -Infinity;
  /** Most that all proxies together may hold. */
  private mostHeld = 0;
  /** For how long a reserve should last, in milliseconds. */
  private horizonMs = 0;
  /** Operations that were counted, or held, and will not run; the leader takes them back. */
  private unused = 0;

  constructor(
    readonly tenant: string,
    /** When an operation was asked for last. */
    public usedAt: number,
  ) {}

  /** Notes an operation, with the limit in force. */
  note(limit: OperationLimit, rules: QuotaRules, now: number): void {
    this.usedAt = now;
    this.decay(now);
    this.operationsPerSecond += MILLISECONDS / RATE_WINDOW_MS;
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

  /** An operation did not run. It can't be used here, since the leader counts it as used. */
  giveBack(): void {
    this.unused++;
  }

  /** Milliseconds until the leader may have something again. */
  dryFor(now: number): number {
    return Math.max(0, this.dryUntil - now);
  }

  /** Whether the leader should be asked, also when nothing waits. */
  wantsReserve(now: number): boolean {
    const wanted = this.wantedReserve(now);
    // What nobody expects to use here would be missing elsewhere, and would be lost when it ends.
    if (this.unused > 0 || this.heldReserve(now) > wanted) return true;
    if (wanted === 0 || this.dryFor(now) > 0) return false;
    const isLow = this.heldReserve(now) <= wanted / 2;
    return isLow || this.reserveUntil - now < RESERVE_LIFE_MS * RENEWAL_PART;
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

  /** The leader has nothing for this tenant until then. */
  noteDry(until: number): void {
    this.dryUntil = until;
  }

  private heldReserve(now: number): number {
    return now < this.reserveUntil ? this.reserve : 0;
  }

  private wantedReserve(now: number): number {
    this.decay(now);
    const expected = (this.operationsPerSecond * this.horizonMs) / MILLISECONDS;
    return expected < LEAST_EXPECTED ? 0 : Math.min(this.mostHeld, Math.ceil(expected));
  }

  private decay(now: number): void {
    this.operationsPerSecond *= Math.exp(-(now - this.notedAt) / RATE_WINDOW_MS);
    this.notedAt = now;
  }
}
