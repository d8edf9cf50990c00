/**
 * Causes of refused requests and failed attempts, and their texts. The texts are on the wire, in log lines and in the label
 * of the retry metric, and operators search for them, so they must not change (docs/operations/errors.md).
 *
 * To add a cause, add a member to a type and a case to `causeText`. The retry delay for its callers is set in retry_after.ts.
 */
import type { AcquireFailure } from '../connections/acquire_error.js';
import type { InstanceErrorKind } from '../instance/instance_connection.js';

/** Why an attempt at one instance failed. */
export type AttemptFailure =
  /**
   * No connection was available in time. Statements outside transactions include the pool's reason, or 'no connection' if
   * the pool failed in another way.
   */
  | { readonly kind: 'noConnection'; readonly failure?: AcquireFailure | 'no connection' }
  /** The connection was lost, or the answer timed out. */
  | { readonly kind: 'connectionLost'; readonly message: string }
  /** The session's values or prepared statement could not be loaded onto the connection. */
  | { readonly kind: 'sessionNotLoaded' }
  /** The lease on the primary ended, so its answers are no longer trusted. */
  | { readonly kind: 'leaseEnded' }
  /** The zone of the transaction's instance was evacuated. */
  | { readonly kind: 'zoneEvacuated' }
  /** The instance is in slow start, and its request rate is used up. */
  | { readonly kind: 'slowStart' }
  /** The instance answered BEGIN with an error. */
  | { readonly kind: 'beginAnswered'; readonly error: InstanceErrorKind };

/** Why a request was refused, or is in doubt. */
export type RefusalCause =
  | AttemptFailure
  /** The last attempt, at a named instance, failed. */
  | {
      readonly kind: 'attemptFailed';
      readonly instance: string;
      readonly failure: AttemptFailure;
    }
  /** A named instance answered with an error. */
  | {
      readonly kind: 'instanceAnswered';
      readonly instance: string;
      readonly error: InstanceErrorKind;
    }
  /** The instance of a transaction answered with an error. */
  | { readonly kind: 'transactionAnswered'; readonly error: InstanceErrorKind | undefined }
  /** This proxy holds no lease on a primary. */
  | { readonly kind: 'noTrustedPrimary' }
  /** No replica is fresh enough, and there is no trusted primary. */
  | { readonly kind: 'noInstanceForRead' }
  /** No instance is in the allowed regions of the request. */
  | { readonly kind: 'outsideHomes' }
  /** Only the primary could run the request, and it is in an evacuated zone. */
  | { readonly kind: 'primaryEvacuated' }
  /** The tenant has used up its operation limit. */
  | { readonly kind: 'tenantOverLimit'; readonly retryAfterMs: number }
  /** No control machine answered the request to grant an operation. */
  | { readonly kind: 'noGrant' }
  /** The caller's credential belongs to no tenant. */
  | { readonly kind: 'credentialUnknown' }
  /** Control has not confirmed the document recently, so the credential may have been revoked. */
  | { readonly kind: 'credentialUnproven' }
  /** The proxy is starting and has received no configuration yet. */
  | { readonly kind: 'noConfiguration' }
  /** The proxy shuts down, and the request may need longer than that takes. */
  | { readonly kind: 'shuttingDown' }
  /** The proxy can't reach control and holds no lease. */
  | { readonly kind: 'isolated' };

/** Why another attempt follows, as reported by the retry metric and the retry log line. */
export type RetryCause =
  | RefusalCause
  /** A read outside a transaction: the outcome of its attempt, or the error that the instance returned. */
  | { readonly kind: 'readAttempt'; readonly ending: 'notRun' | 'lost' | InstanceErrorKind };

/** Whether the request was refused because the rate of a cold instance is used up. */
export function isSlowStartCause(cause: RefusalCause): boolean {
  if (cause.kind === 'attemptFailed') return cause.failure.kind === 'slowStart';
  return cause.kind === 'slowStart';
}

/** Text of a cause on the wire, in log lines and in metrics. */
export function causeText(cause: RetryCause): string {
  switch (cause.kind) {
    case 'noConnection':
      return cause.failure === undefined ? 'no connection' : `no connection: ${cause.failure}`;
    case 'connectionLost':
      return cause.message;
    case 'sessionNotLoaded':
      return 'the session could not be loaded';
    case 'leaseEnded':
      return 'the lease on the primary ended';
    case 'zoneEvacuated':
      return 'the zone of its instance is evacuated';
    case 'slowStart':
      return 'the instance is warming up';
    case 'beginAnswered':
      return `answered ${cause.error}`;
    case 'attemptFailed':
      return `${cause.instance}: ${causeText(cause.failure)}`;
    case 'instanceAnswered':
      return `${cause.instance} answered ${cause.error}`;
    case 'transactionAnswered':
      return `the instance answered ${cause.error ?? 'without an error'}`;
    case 'noTrustedPrimary':
      return 'no trusted primary';
    case 'noInstanceForRead':
      return 'no instance may serve the read';
    case 'outsideHomes':
      return 'no instance within the homes may run it';
    case 'primaryEvacuated':
      return 'the primary is in an evacuated zone';
    case 'tenantOverLimit':
      return 'the tenant is over its limit';
    case 'noGrant':
      return 'no control machine grants operations';
    case 'credentialUnknown':
      return 'no tenant holds the credential';
    case 'credentialUnproven':
      return 'whether the credential still holds is not known';
    case 'noConfiguration':
      return 'no configuration yet';
    case 'shuttingDown':
      return 'the proxy is shutting down';
    case 'isolated':
      return 'the proxy is cut off from control';
    case 'readAttempt':
      return cause.ending;
  }
}
