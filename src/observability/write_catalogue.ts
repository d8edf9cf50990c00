/**
 * Generates docs/EVENTS.md from the event table; with `--check`, fails if the file is out of date. Must be run in the root
 * folder of the repository.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { format } from 'prettier';
import { allEvents } from './events.js';

const FILE = 'docs/EVENTS.md';

function catalogue(): string {
  const rows = allEvents().map(
    (event) => `| ${event.number} | \`${event.name}\` | ${event.level} | ${event.meaning} |`,
  );
  return [
    '# Events',
    '',
    'Made from `src/observability/events.ts` by `npm run events`.',
    '',
    '| number | name | level | meaning and what to do |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

const text = await format(catalogue(), { parser: 'markdown', printWidth: 100 });
if (process.argv.includes('--check')) {
  if (readFileSync(FILE, 'utf8') !== text) {
    console.error(`${FILE} is out of date: run "npm run events"`);
    process.exitCode = 1;
  }
} else {
  writeFileSync(FILE, text);
}
