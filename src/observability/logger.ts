/** Structured JSON logs through `bunyan`. Every line carries the number and the name of its event. */
import bunyan from 'bunyan';
import type { EventKind } from './events.js';

/** Fields of a log line. Must not contain passwords or keys. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Destination of log lines. */
interface LineOutput {
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
