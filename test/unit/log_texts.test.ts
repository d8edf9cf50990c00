/** Texts of callers in log lines. */
import fc from 'fast-check';
import t from 'tap';
import { Events } from '../../src/observability/events.js';
import { EventLogger } from '../../src/observability/logger.js';

const LONGEST_LINE = 16 * 1024;

function lineOf(request: string): string {
  const lines: string[] = [];
  const logger = new EventLogger('test', {}, 'info', { write: (line) => void lines.push(line) });
  logger.event(Events.requestRefused, { request });
  return lines.join('');
}

void t.test('a long identifier of a caller does not crowd out other lines', (t) => {
  t.ok(lineOf('i'.repeat(1024 * 1024)).length < LONGEST_LINE);
  t.ok(lineOf('\u0000'.repeat(1024 * 1024)).length < LONGEST_LINE);
  t.end();
});

void t.test('a text of a caller forges neither a line nor a field', (t) => {
  const noise = fc.string({ unit: 'binary', maxLength: 60 });
  const property = fc.property(noise, (noisy) => {
    const text = `${noisy}\r\n","event":108,"x":"`;
    const line = lineOf(text);
    const fields = JSON.parse(line) as Record<string, unknown>;
    return line.indexOf('\n') === line.length - 1 && fields['request'] === text;
  });
  fc.assert(property, { seed: 3 });
  t.equal((JSON.parse(lineOf('a')) as { event: number }).event, Events.requestRefused.number);
  t.end();
});
