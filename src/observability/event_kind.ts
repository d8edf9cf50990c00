/** Kinds of log events. */

type EventLevel = 'info' | 'warn' | 'error';

/** One kind of event. */
export interface EventKind {
  /** Number under which operators find the event in docs/EVENTS.md. */
  readonly number: number;
  /** Name in log lines. */
  readonly name: string;
  readonly level: EventLevel;
  /** Text of the log line. */
  readonly message: string;
  /** What it means and what to do, for operators. */
  readonly meaning: string;
}

/** Defines a kind of event; see {@link EventKind}. */
export function define(
  number: number,
  name: string,
  level: EventLevel,
  message: string,
  meaning: string,
): EventKind {
  return { number, name, level, message, meaning };
}
