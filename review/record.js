/**
 * Record of one run: what was sent, answered and run, with the milliseconds since the start. It is
 * written to `record.txt` in the folder of the case.
 */
import { writeFileSync } from 'node:fs';

export class Record {
  /** @param {string} file path of the record */
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAt = performance.now();
  }

  /** Adds a line: who did it, and what. */
  note(who, text) {
    const at = String(Math.round(performance.now() - this.startedAt)).padStart(6);
    this.lines.push(`${at} ms  ${who.padEnd(12)} ${text}`);
  }

  write() {
    writeFileSync(this.file, this.lines.join('\n') + '\n');
  }
}

/** Resolves after `ms` milliseconds. */
export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Resolves as soon as `condition` holds.
 * @throws {Error} naming `what` if it does not hold within `ms`
 */
export async function until(what, ms, condition) {
  const deadline = performance.now() + ms;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`not within ${ms} ms: ${what}`);
    await pause(20);
  }
}
