/**
 * One operation that may run: whose it is, and whether an instance may have run it. Owns that mark, by which an operation
 * that surely did not run is given back; relies on nothing that may fail.
 */
import type { Tenant } from './tenant.js';

/** An operation within the limit of its tenant. */
export class AdmittedOperation {
  private executionPossible = false;

  constructor(
    /** Tenant that it counts for. */
    readonly tenant: Tenant,
    /** When it was counted, on the clock of this process. */
    readonly countedAt: number,
  ) {}

  /** Whether an instance may have run it. */
  get mayHaveRun(): boolean {
    return this.executionPossible;
  }

  /** Notes that an instance ran it, or may have. */
  markMayHaveRun(): void {
    this.executionPossible = true;
  }
}
