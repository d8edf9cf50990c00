/**
 * Reasons for which a pool refuses a request. A refused request has not run, here or at the
 * instance.
 */

/**
 * Why a request got no connection.
 * - `timeout`: none became available before the request timed out;
 * - `full`: refused on arrival, since the expected wait exceeds the request's timeout;
 * - `displaced`: refused while queued, since more urgent requests arrived;
 * - `unreachable`: the instance cannot be reached;
 * - `wrongInstance`: another instance answers at its address;
 * - `evacuated`: the zone of the instance is evacuated;
 * - `closed`: the pool is closed;
 * - `slowStart`: the instance is cold and its slow-start limit is reached.
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
 * A request got no connection. Extends the plain `Error`, unlike the other errors of the project,
 * since creating a subclass of `WhinyokeError` costs several times as much and a full queue creates
 * one error for each statement that it refuses.
 */
export class AcquireError extends Error {
  constructor(readonly failure: AcquireFailure) {
    super(failure);
  }
}
