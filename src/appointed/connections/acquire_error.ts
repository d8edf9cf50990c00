/** Reasons for which a pool refuses a request. Nothing ran then, here or at the instance. */

/**
 * Why no connection could be had.
 * - `timeout`: none came while the request waited;
 * - `full`: on arrival, since the wait would have been too long;
 * - `displaced`: while it waited, since more urgent requests came before it;
 * - `unreachable`: the instance could not be reached;
 * - `wrongInstance`: another instance has its address;
 * - `closed`: the pool has ended.
 */
export type AcquireFailure =
  'timeout' | 'full' | 'displaced' | 'unreachable' | 'wrongInstance' | 'closed';

/** A pool had no connection for a request. */
export class AcquireError extends Error {
  constructor(readonly failure: AcquireFailure) {
    super(failure);
  }
}
