/** Reasons for which a pool refuses a request. Nothing ran then, here or at the instance. */

/**
 * Why no connection could be had.
 * - `timeout`: none came while the request waited;
 * - `full`: on arrival, since the wait would have been too long;
 * - `displaced`: while it waited, since more urgent requests came before it;
 * - `unreachable`: the instance could not be reached;
 * - `wrongInstance`: another instance has its address;
 * - `evacuated`: the instance is in an evacuated zone;
 * - `closed`: the pool has ended;
 * - `slowStart`: the instance is cold, and no more may be sent to it now.
 */
export type AcquireFailure =
  | 'timeout'
  | 'full'
  | 'displaced'
  | 'unreachable'
  | 'wrongInstance'
  | 'evacuated'
  | 'closed'
  | 'slowStart';

/**
 * A pool had no connection for a request. A plain error, unlike all others: a full queue makes one for each statement that
 * it refuses, and a subclass of the root of errors costs several times as much to create.
 */
export class AcquireError extends Error {
  constructor(readonly failure: AcquireFailure) {
    super(failure);
  }
}
