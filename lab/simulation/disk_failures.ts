/** How a simulated disk fails: which operations, how often, and before, during or after their effect. */
import type { RandomSource } from '../../src/runtime/runtime.js';

/** Operations of a data folder that write. */
export const DISK_OPERATIONS = ['append', 'sync', 'replace', 'truncate', 'remove'] as const;

export type DiskOperation = (typeof DISK_OPERATIONS)[number];

/** How far an operation got when it failed: not at all, in part or without durability, or entirely. */
export type FailurePoint = 'before' | 'during' | 'after';

/** Failures of a disk that still takes some operations. */
export interface DiskFailures {
  /** Operations that can fail. */
  readonly operations: ReadonlySet<DiskOperation>;
  /** Share of these operations that fail, from 0 to 1. */
  readonly rate: number;
}

/** A write failed on a disk with {@link DiskFailures}. */
export class DiskFailureError extends Error {
  constructor(operation: DiskOperation, point: FailurePoint) {
    super(`EIO: ${operation} failed ${point} its effect`);
  }
}

const FAILURE_POINTS: readonly FailurePoint[] = ['before', 'during', 'after'];

/** Draws whether and how the next operation fails; undefined if it succeeds. */
export function drawFailure(
  failures: DiskFailures,
  operation: DiskOperation,
  random: RandomSource,
): FailurePoint | undefined {
  if (!failures.operations.has(operation) || random.next() >= failures.rate) return undefined;
  return FAILURE_POINTS[random.integer(0, FAILURE_POINTS.length - 1)];
}
