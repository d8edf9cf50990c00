/**
 * When a caller of the MySQL interface should come back, how often a gateway tries, and how long it pauses between tries.
 *
 * Situation: a statement can't be run now, and nothing of it was kept (verdict `not_run`). The caller is refused at once
 * and told a time, so that callers neither press on an instance without room nor miss a primary that is there again.
 * Input: the cause. Rule: a fixed time a cause; only a full queue of slots has a time of its own (`SlotQueue`). The
 * times are guesses, not measured, unless a line says otherwise. The interface of appointed primaries has its own policy.
 */

/** Time after which a refused statement is worth sending again, in milliseconds, by cause. */
export const RetryAfterMs = {
  /** No primary was found within the group's `failover.buffer_ms`: about the rest of a usual change of primary. */
  noPrimary: 200,
  /** The instance proved that a write did not run, for example because it is read-only. */
  writeNotRun: 200,
  /** A transaction can't begin since its instance left the group. */
  noInstanceToBegin: 200,
  /** No secondary is fresh enough and the primary can't be read with proof; replicas catch up within some ten milliseconds. */
  readUnavailable: 100,
  /** The instance left the group between choice and use; the next choice finds another. */
  instanceGone: 50,
  /** The pool of connections to an instance is full. */
  poolFull: 50,
  /** A transaction was lost, and the primary is there: it can begin anew at once. */
  transactionLost: 10,
  /** A transaction was lost, and there is no trusted primary: its new begin may wait for one at the gateway. */
  transactionLostWithoutPrimary: 50,
  /** Gateways of the group change hands, or the one that held a transaction is gone. */
  noGateway: 200,
  /** This proxy stops; the caller's next connection goes to another one. */
  stopping: 100,
} as const;

/** Shortest time that a caller is told when all slots are in use, in milliseconds: a trip and a short statement. */
export const MINIMUM_SLOT_RETRY_AFTER_MS = 20;

/** Tries of one write or of one begin of a transaction; the group's `failover.buffer_ms` ends most of them sooner. */
export const MAXIMUM_WRITE_ATTEMPTS = 20;

/** Tries of one read: each excludes the secondary that failed, and a group has few. */
export const MAXIMUM_READ_ATTEMPTS = 4;

/** Longest pause after the first try, in milliseconds; it doubles with each try. */
const FIRST_PAUSE_MS = 5;
/** Longest pause of all, in milliseconds. */
const LONGEST_PAUSE_MS = 100;
/** Added to each pause, in milliseconds, so that no try follows in the same moment. */
const SHORTEST_PAUSE_MS = 1;

/**
 * Time before the next try, in milliseconds: exponential with full jitter, so that statements which failed together don't
 * come back together.
 * @param attempt - tries before this one, less one
 * @param random - a number in [0, 1)
 */
export function pauseBeforeRetry(attempt: number, random: number): number {
  const limit = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** attempt);
  return SHORTEST_PAUSE_MS + random * limit;
}
