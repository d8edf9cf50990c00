/**
 * Error classes of the project, and the errors returned to callers of the MySQL interface. Errors returned to callers carry
 * a verdict on whether the request may have run, a stable MySQL error code and, where a retry makes sense, a retry delay.
 * docs/operations/errors.md describes each code for both interfaces.
 */
import ModernError, { type InstanceOptions } from 'modern-errors';

/**
 * Whether a request took effect.
 * - `not_run`: it did not and never will
 * - `ran`: it did
 * - `may_have_run`: the outcome is unknown
 */
export type Verdict = 'not_run' | 'ran' | 'may_have_run';

/** Details of an error returned to a caller. */
export interface RequestErrorDetails {
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** MySQL error number, listed in docs/operations/errors.md. */
  readonly code: number;
  /** Five-character SQLSTATE of the SQL standard. */
  readonly sqlState: string;
  /** Delay before a retry, in milliseconds; undefined where a retry makes no sense. */
  readonly retryAfterMs?: number;
}

/** Default MySQL error number. */
export const ER_UNKNOWN_ERROR = 1105;
/** Default SQLSTATE. */
export const SQL_STATE_GENERAL = 'HY000';

/** Base class of all errors that this project raises. */
export const WhinyokeError = ModernError.subclass('WhinyokeError');

/** A peer of the internal protocol did not answer in time; unless `sent` is false, the request may have reached it. */
export const PeerUnreachableError = WhinyokeError.subclass('PeerUnreachableError', {
  custom: class extends WhinyokeError {
    /** Whether the request may have left this process. */
    readonly sent: boolean;

    constructor(message: string, options?: InstanceOptions & { sent?: boolean }) {
      super(message);
      this.sent = options?.sent ?? true;
    }
  },
});

/** Invalid settings or configuration document; the message gives file, line and path. */
export const InvalidDocumentError = WhinyokeError.subclass('InvalidDocumentError');

/** Malformed call of an operator or an instance; it changed nothing. */
export const InvalidCallError = WhinyokeError.subclass('InvalidCallError');

/** A file in the data folder is corrupt in a way that an interrupted write cannot cause. */
export const StorageCorruptionError = WhinyokeError.subclass('StorageCorruptionError');

/** The connection to a back end was lost. */
export const BackendConnectionLostError = WhinyokeError.subclass('BackendConnectionLostError', {
  custom: class extends WhinyokeError {
    /** Whether the statement may have left this process. */
    readonly sent: boolean;

    constructor(message: string, options?: InstanceOptions & { sent?: boolean }) {
      super(message);
      this.sent = options?.sent ?? true;
    }
  },
});

/** The proxy that owns the connections to a back end did not answer; the state of the back end is unknown. */
export const OwnerUnreachableError = BackendConnectionLostError.subclass('OwnerUnreachableError');

/** Error returned by the database; the statement itself had no effect. */
export const DatabaseError = WhinyokeError.subclass('DatabaseError', {
  custom: class extends WhinyokeError {
    /** MySQL error number. */
    readonly code: number;
    /** SQLSTATE of the SQL standard. */
    readonly sqlState: string;

    constructor(message: string, options?: InstanceOptions & { code?: number; sqlState?: string }) {
      super(message);
      this.code = options?.code ?? ER_UNKNOWN_ERROR;
      this.sqlState = options?.sqlState ?? SQL_STATE_GENERAL;
    }
  },
});

/** Stable error numbers of this project. MySQL does not use numbers from 50000 on. */
export const ErrorCode = {
  /** No server may currently run the statement. */
  unavailable: 50001,
  /** A queue is full, or the request would miss its deadline in the queue. */
  overloaded: 50002,
  /** A write was sent, and no confirmation that it is durable was received. */
  outcomeUnknown: 50003,
  /** The connection of a transaction was lost before its commit was sent. */
  transactionLost: 50004,
  /** The proxy is shutting down. */
  stopping: 50005,
  /** The statement names no configured database group. */
  unknownGroup: 50006,
  /** The statement is not supported through a shared connection. */
  unsupported: 50007,
  /** The consistency mark sent by the caller is malformed. */
  badMark: 50008,
} as const;

/** Error returned to a caller. */
export const RequestError = WhinyokeError.subclass('RequestError', {
  custom: class extends WhinyokeError {
    readonly verdict: Verdict;
    readonly code: number;
    readonly sqlState: string;
    readonly retryAfterMs: number | undefined;

    constructor(message: string, options?: InstanceOptions & Partial<RequestErrorDetails>) {
      super(message);
      this.verdict = options?.verdict ?? 'may_have_run';
      this.code = options?.code ?? ER_UNKNOWN_ERROR;
      this.sqlState = options?.sqlState ?? SQL_STATE_GENERAL;
      this.retryAfterMs = options?.retryAfterMs;
    }

    /** Message sent to the caller, followed by machine-readable `key=value` pairs. */
    get wireMessage(): string {
      const retry = this.retryAfterMs === undefined ? '' : ` retry_after_ms=${this.retryAfterMs}`;
      return `${this.message} [verdict=${this.verdict}${retry}]`;
    }
  },
});

export type DatabaseError = InstanceType<typeof DatabaseError>;

export type BackendConnectionLostError = InstanceType<typeof BackendConnectionLostError>;

export type OwnerUnreachableError = InstanceType<typeof OwnerUnreachableError>;

export type RequestError = InstanceType<typeof RequestError>;

const SQL_STATE_ROLLED_BACK = '40000';
const SQL_STATE_UNKNOWN_RESOLUTION = '08007';
const SQL_STATE_NO_CONNECTION = '08004';

/** The statement was not run; the caller may retry it after `retryAfterMs`. */
export function notRun(message: string, code: number, retryAfterMs?: number): RequestError {
  const sqlState =
    code === ErrorCode.transactionLost
      ? SQL_STATE_ROLLED_BACK
      : retryAfterMs === undefined
        ? SQL_STATE_GENERAL
        : SQL_STATE_NO_CONNECTION;
  return new RequestError(message, { verdict: 'not_run', code, sqlState, retryAfterMs });
}

/** The statement was sent and its outcome is unknown. */
export function mayHaveRun(message: string): RequestError {
  return new RequestError(message, {
    verdict: 'may_have_run',
    code: ErrorCode.outcomeUnknown,
    sqlState: SQL_STATE_UNKNOWN_RESOLUTION,
  });
}

/** Message of a thrown value of any type. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
