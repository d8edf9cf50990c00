/**
 * Why a request was refused, or why an attempt at one instance brought nothing.
 *
 * Owns: all causes of this interface and their texts. The texts are on the wire, in log lines and in the label of the
 * retry metric; operators search for them, so they stay as they are (docs/operations/errors.md).
 * Relies on nothing: pure functions.
 *
 * A new cause is one member of a type and one line in a function, both below, besides the place that raises it. When its
 * caller should come back is decided in retry_after.ts.
 */
import type { AcquireFailure } from '../connections/acquire_error.js';
import type { InstanceErrorKind } from '../instance/instance_connection.js';

/** Why an attempt at one instance brought nothing. */
export type AttemptFailure =
  /**
   * No connection could be had in time. Statements outside transactions name the pool's reason, or 'no connection' where
   * the pool failed in another way.
   */
  | { readonly kind: 'noConnection'; readonly failure?: AcquireFailure | 'no connection' }
  /** The connection ended, or its answer came too late. */
  | { readonly kind: 'connectionLost'; readonly message: string }
  /** The connection could not be given the session's values and prepared statement. */
  | { readonly kind: 'sessionNotLoaded' }
  /** This proxy may no longer trust the answers of the primary. */
  | { readonly kind: 'leaseEnded' }
  /** The zone of the instance of a transaction was evacuated. */
  | { readonly kind: 'zoneEvacuated' }
  /** The instance is cold, and no more may be sent to it now. */
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
  /** No primary is trusted by this proxy. */
  | { readonly kind: 'noTrustedPrimary' }
  /** No replica is fresh enough, and no primary is trusted. */
  | { readonly kind: 'noInstanceForRead' }
  /** The homes of the request leave no instance that may run it. */
  | { readonly kind: 'outsideHomes' }
  /** Only the primary could run it, and that is in an evacuated zone. */
  | { readonly kind: 'primaryEvacuated' }
  /** The leader has no operation left for the tenant. */
  | { readonly kind: 'tenantOverLimit'; readonly retryAfterMs: number }
  /** No control machine answered the request for an operation. */
  | { readonly kind: 'noGrant' }
  /** No tenant holds the caller's credential. */
  | { readonly kind: 'credentialUnknown' }
  /** Control has not confirmed the document lately, so the credential may have been taken away. */
  | { readonly kind: 'credentialUnproven' }
  /** The proxy has started and has no configuration yet. */
  | { readonly kind: 'noConfiguration' };

/** Why another attempt follows, as the retry metric and the line of a retry name it. */
export type RetryCause =
  | RefusalCause
  /** A read outside a transaction: how its attempt ended, or the error that the instance answered. */
  | { readonly kind: 'readAttempt'; readonly ending: 'notRun' | 'lost' | InstanceErrorKind };

/** Whether a cold instance could be sent no more. */
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
    case 'readAttempt':
      return cause.ending;
  }
}
