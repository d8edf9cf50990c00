/**
 * Histories of concurrent runs. Simulated and real runs write the same events, one JSON object a line.
 * Times are milliseconds of one observer's clock.
 */
import type { Verdict } from '../../src/errors/errors.js';

/** What an operation does. */
export type OperationKind =
  /** Transaction that raises a register's version and notes it in the journal. */
  | 'write'
  /** Read of a register. */
  | 'read'
  /** Single insert under a once key; resends share the key. */
  | 'payment'
  /** Transaction that the caller leaves without an end. */
  | 'abandoned';

/** A caller sent an operation. */
export interface InvokeEvent {
  readonly type: 'invoke';
  readonly at: number;
  readonly operation: string;
  readonly kind: OperationKind;
  readonly session: string;
  readonly proxy: string;
  readonly group: string;
  /** Register, or once key of a payment. */
  readonly key: string;
  /** Whether the session brings no token, so that its reads must see everything acknowledged before. */
  readonly withoutToken?: boolean;
}

/** An operation was answered with success. */
export interface OkEvent {
  readonly type: 'ok';
  readonly at: number;
  readonly operation: string;
  /** Version written or read. */
  readonly version?: number;
  /** Operation that wrote the version that was read. */
  readonly writer?: string;
  /** What the answer to a read echoed; must be the operation. */
  readonly echo?: string;
  /** Register that the answer to a read named; must be the one asked for. */
  readonly answeredKey?: string;
  /** Term in which a write was acknowledged, when the caller was told. */
  readonly term?: number;
}

/** An operation was answered with an error, or its connection broke (then `may_have_run`). */
export interface ErrorEvent {
  readonly type: 'error';
  readonly at: number;
  readonly operation: string;
  readonly verdict: Verdict;
  readonly code: number;
  readonly message: string;
  /** Whether the caller's connection broke in place of an answer. */
  readonly connectionLost?: boolean;
}

/** An instance became primary of its group. */
interface ElectedEvent {
  readonly type: 'elected';
  readonly at: number;
  readonly group: string;
  readonly term: number;
  readonly instance: string;
}

/** A fault began or ended. */
interface FaultEvent {
  readonly type: 'fault';
  readonly at: number;
  readonly description: string;
}

/** An instance was told to take no new work, by its configuration or its own word. */
interface LeavingEvent {
  readonly type: 'leaving';
  readonly at: number;
  readonly instance: string;
  readonly isLeaving: boolean;
}

/** An instance began a statement of a new request. */
interface WorkEvent {
  readonly type: 'work';
  readonly at: number;
  readonly instance: string;
}

/** A planned stop of a proxy began. */
interface StopEvent {
  readonly type: 'stop';
  readonly at: number;
  readonly proxy: string;
}

/** A proxy was ended without warning. */
interface KilledEvent {
  readonly type: 'killed';
  readonly at: number;
  readonly proxy: string;
}

/** A proxy put a configuration in force. */
interface InForceEvent {
  readonly type: 'in_force';
  readonly at: number;
  readonly proxy: string;
  readonly revision: number;
}

/** An operator's submission had an outcome. */
interface SubmissionEvent {
  readonly type: 'submission';
  readonly at: number;
  readonly submission: string;
  readonly outcome: 'accepted' | 'refused' | 'unknown';
  readonly revision: number;
}

/** Highest use of an instance's resources over the run. */
export interface UsageEvent {
  readonly type: 'usage';
  readonly at: number;
  readonly instance: string;
  readonly highestRunning: number;
  readonly slots: number;
  readonly highestConnections: number;
  readonly connections: number;
  readonly refusedStatements: number;
}

/** Content of a group at the end of the run. */
export interface FinalEvent {
  readonly type: 'final';
  readonly at: number;
  readonly group: string;
  /** Journal: operation, register and the version it wrote. */
  readonly journal: readonly (readonly [operation: string, register: string, version: number])[];
  /** Payments: attempt and once key. */
  readonly payments: readonly (readonly [attempt: string, onceKey: string])[];
}

/** Configuration at the end of the run. */
interface FinalConfigurationEvent {
  readonly type: 'final_configuration';
  readonly at: number;
  /** Newest accepted revision, and the submissions in order. */
  readonly revision: number;
  readonly submissions: readonly string[];
  /** Revision in force on each live proxy. */
  readonly inForce: readonly (readonly [proxy: string, revision: number])[];
}

/** Whether a group served a write through a proxy once all faults were over. */
interface RecoveryEvent {
  readonly type: 'recovery';
  readonly at: number;
  readonly proxy: string;
  readonly group: string;
  readonly served: boolean;
  /** Why not. */
  readonly reason?: string;
}

/** Any event. */
export type HistoryEvent =
  | InvokeEvent
  | OkEvent
  | ErrorEvent
  | ElectedEvent
  | FaultEvent
  | LeavingEvent
  | WorkEvent
  | StopEvent
  | KilledEvent
  | InForceEvent
  | SubmissionEvent
  | UsageEvent
  | FinalEvent
  | FinalConfigurationEvent
  | RecoveryEvent;

/** Collects events in the order in which they happen. */
export class HistoryRecorder {
  readonly events: HistoryEvent[] = [];

  /** Adds an event. */
  add(event: HistoryEvent): void {
    this.events.push(event);
  }
}

/** One JSON object a line. */
export function formatHistory(events: readonly HistoryEvent[]): string {
  return events.map((event) => JSON.stringify(event) + '\n').join('');
}

/** Reads the line format; throws on malformed lines. */
export function parseHistory(text: string): HistoryEvent[] {
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as HistoryEvent);
}
