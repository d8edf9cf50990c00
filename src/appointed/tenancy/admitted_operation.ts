/** One operation that may run: whose it is, and whether an instance may have run it. */
import type { Tenant } from './tenant.js';

/** An operation within the limit of its tenant. */
export class AdmittedOperation {
  private mayHaveRun = false;

  constructor(
    readonly tenant: Tenant,
    /** When it was counted, on the clock of this process. */
    readonly countedAt: number,
  ) {}

  /** Whether an instance may have run it. */
  get hasRun(): boolean {
    return this.mayHaveRun;
  }

  /** An instance ran it, or may have. */
  noteRun(): void {
    this.mayHaveRun = true;
  }
}
