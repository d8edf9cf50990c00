/** Why a pool had no connection to give. */

/** Why no connection could be had. Nothing ran. Displaced: more urgent requests came while it waited. */
export type AcquireFailure =
  'timeout' | 'full' | 'displaced' | 'unreachable' | 'wrongInstance' | 'closed';

/** Nothing could be had in time. */
export class AcquireError extends Error {
  constructor(readonly failure: AcquireFailure) {
    super(failure);
  }
}
