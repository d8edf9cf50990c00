/**
 * Runs one case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run. All processes that it started are ended first.
 */
import { Record } from './record.js';

/** The whole run has less time than its limit of 120 seconds. */
const LIMIT_MS = 110_000;
const EXIT = { held: 0, broken: 1, impossible: 2 };

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === '0';

/**
 * @param {string} recordFile path of the record, `record.txt` in the folder of the case
 * @param {(record: Record, cleanUp: (close: () => void) => void) => Promise<string[]>} play plays
 *   the case and returns how the rule was broken, nothing if it held
 */
export async function runCase(recordFile, play) {
  const record = new Record(recordFile);
  const closers = [];
  const end = (code, text) => {
    for (const close of closers.reverse()) close();
    record.lines.push('', text);
    record.write();
    console.log(text);
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => end(EXIT.impossible, `ended by ${signal}`));
  }
  setTimeout(() => end(EXIT.impossible, `not done within ${LIMIT_MS} ms`), LIMIT_MS).unref();
  record.lines.push(isCalm ? 'TROUBLE=0: without the disruption' : 'with the disruption', '');
  try {
    const breaks = await play(record, (close) => closers.push(close));
    if (breaks.length > 0) end(EXIT.broken, `RULE BROKEN\n${breaks.join('\n')}`);
    else end(EXIT.held, 'the rule held');
  } catch (error) {
    end(EXIT.impossible, `the case could not run: ${error.stack}`);
  }
}
