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
  /** Factor of the time that all operations take; a slow one is still in flight when its request is repeated. */
  readonly slowness: number;
}

/** A simulated disk refused a write. */
export class DiskError extends Error {}

/** What a write meets on a disk without free space. */
export class DiskFullError extends DiskError {
  constructor() {
    super('ENOSPC: no space left on device');
  }
}

/** A write failed on a disk with {@link DiskFailures}. */
export class DiskFailureError extends DiskError {
  constructor(operation: DiskOperation, point: FailurePoint) {
    super(`EIO: ${operation} failed ${point} its effect`);
  }
}

const FAILURE_POINTS: readonly FailurePoint[] = ['before', 'during', 'after'];

/** Shares of operations that fail, of which a fault draws one. */
const FAILURE_RATES = [0.1, 0.3, 1];

/** Factors of the time of an operation, of which a fault draws one. */
const SLOWNESSES = [1, 100, 800];

/** Draws operations that fail, at least one, how often, and how slow the disk is. */
export function drawFailures(random: RandomSource): DiskFailures {
  const certain = DISK_OPERATIONS[random.integer(0, DISK_OPERATIONS.length - 1)]!;
  const others = DISK_OPERATIONS.filter(() => random.next() < 0.5);
  const rate = FAILURE_RATES[random.integer(0, FAILURE_RATES.length - 1)]!;
  const slowness = SLOWNESSES[random.integer(0, SLOWNESSES.length - 1)]!;
  return { operations: new Set([certain, ...others]), rate, slowness };
}

/** Draws whether and how the next operation fails; undefined if it succeeds. */
export function drawFailure(
  failures: DiskFailures,
  operation: DiskOperation,
  random: RandomSource,
): FailurePoint | undefined {
  if (!failures.operations.has(operation) || random.next() >= failures.rate) return undefined;
  return FAILURE_POINTS[random.integer(0, FAILURE_POINTS.length - 1)];
}
