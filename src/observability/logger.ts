/**
 * Structured logs through `bunyan`; every line carries the number of its event. Owns the output; relies on its reader, which
 * may stop reading.
 */
import bunyan from 'bunyan';
import type { EventKind } from './events.js';

/** Fields of a log line. Passwords and keys never belong here. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where lines go. */
interface LineOutput {
  /** Takes a line. */
  write(line: string): void;
}

/** Logger of one process. */
export class EventLogger {
  private readonly logger: bunyan;

  constructor(
    program: string,
    fields: EventFields,
    level: bunyan.LogLevelString,
    output?: LineOutput,
  ) {
    const streams = output && { streams: [{ stream: output as NodeJS.WritableStream }] };
    this.logger = bunyan.createLogger({ name: program, level, ...streams, ...fields });
  }

  /** Writes one event. */
  event(kind: EventKind, fields: EventFields = {}): void {
    this.logger[kind.level]({ event: kind.number, event_name: kind.name, ...fields }, kind.message);
  }
}
