/** From the identifier of a request to its cause: the log lines that decided it, in their order. */

/** One line of a process's log. */
interface LogLine {
  readonly at: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every line has; they are not shown again. */
const COMMON_FIELDS = new Set([
  'name',
  'node',
  'hostname',
  'pid',
  'level',
  'event',
  'event_name',
  'at_ms',
  'msg',
  'time',
  'v',
]);

/** What processes believe of control and of the whole system counts for every group. */
const GLOBAL_EVENTS = new Set([
  'started',
  'stopping',
  'stopped',
  'control_lost',
  'control_regained',
  'role_changed',
  'lines_left_out',
]);

/** Lines that follow the request by this much may still belong to it, in milliseconds. */
const AFTER_MS = 500;

function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const { time, node, event_name: event } = fields;
    if (typeof time !== 'string' || typeof event !== 'string') return undefined;
    return { at: Date.parse(time), node: String(node), event, fields };
  } catch {
    return undefined;
  }
}

function describe(line: LogLine, origin: number): string {
  const shown = Object.entries(line.fields)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const offset = `${Math.round(line.at - origin)} ms`.padStart(9);
  return `${offset}  ${line.node}  ${line.event}  ${shown.join(' ')}`;
}

/**
 * Lines of a request, of its group and of what the processes believed, from `aroundMs` before it.
 * @param logs - texts of the logs of all processes, one JSON line for each event
 */
export function explainRequest(
  request: string,
  logs: readonly string[],
  aroundMs: number,
): string[] {
  const lines = logs.flatMap((text) => text.split('\n').flatMap((line) => parseLine(line) ?? []));
  lines.sort((left, right) => left.at - right.at);
  const own = lines.filter((line) => line.fields['request'] === request);
  const last = own.at(-1);
  if (!last) return [];
  const { group } = last.fields;
  const isRelated = (line: LogLine): boolean => {
    if (line.fields['request'] !== undefined) return line.fields['request'] === request;
    return GLOBAL_EVENTS.has(line.event) || line.fields['group'] === group;
  };
  return lines
    .filter((line) => line.at >= last.at - aroundMs && line.at <= last.at + AFTER_MS)
    .filter(isRelated)
    .map((line) => describe(line, last.at));
}
