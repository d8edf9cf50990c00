/**
 * Retry budget: retries may add only a fixed share to ordinary traffic, so that they never feed an
 * overload. Source: "Addressing Cascading Failures", Site Reliability Engineering (2016).
 */

/** Limits of a budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly ratio: number;
  /** Retries that can be saved up. */
  readonly burst: number;
}

/** Defaults. */
const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { ratio: 0.1, burst: 100 };

/** A budget that is earned by first attempts and spent by retries. */
export class RetryBudget {
  private balance: number;

  constructor(private readonly options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.balance = options.burst;
  }

  /** Counts a first attempt. */
  earn(): void {
    this.balance = Math.min(this.options.burst, this.balance + this.options.ratio);
  }

  /** Takes one retry; false when none is left. */
  spend(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
