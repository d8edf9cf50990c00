/** Structured JSON logs through `bunyan`. Every line carries the number and the name of its event. */
import bunyan from 'bunyan';
import type { EventKind } from './events.js';

/** Fields of a log line. Must not contain passwords or keys. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Longest text in a field: callers choose some texts, such as the identifiers of their requests. */
const MAXIMUM_TEXT_CHARACTERS = 2000;

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
    this.logger[kind.level](
      { event: kind.number, event_name: kind.name, ...bounded(fields) },
      kind.message,
    );
  }
}

/** Fields with long texts cut to their beginning and length. */
function bounded(fields: EventFields): EventFields {
  const texts = Object.entries(fields).map(([name, value]) => [name, boundedText(value)] as const);
  return Object.fromEntries(texts);
}

function boundedText(value: EventFields[string]): EventFields[string] {
  if (typeof value !== 'string' || value.length <= MAXIMUM_TEXT_CHARACTERS) return value;
  return `${value.slice(0, MAXIMUM_TEXT_CHARACTERS)}... (${value.length} characters)`;
}
