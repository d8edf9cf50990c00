/** An operation that was counted against its tenant's limit. It is returned to the limit if it certainly did not run. */
import type { Tenant } from './tenant.js';

export class AdmittedOperation {
  private executionPossible = false;

  constructor(
    readonly tenant: Tenant,
    /** When it was counted, on this process's clock. */
    readonly countedAt: number,
  ) {}

  /** Whether an instance may have executed it. */
  get mayHaveRun(): boolean {
    return this.executionPossible;
  }

  markMayHaveRun(): void {
    this.executionPossible = true;
  }
}
