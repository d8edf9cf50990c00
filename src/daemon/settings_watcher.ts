/**
 * Notices changed settings files: at SIGHUP, and by looking at the content every few seconds. Owns the newest content; relies
 * on the file, which may be missing for a moment.
 */
import { readFileSync } from 'node:fs';

/** Time between two looks, in milliseconds: changes of settings may take a few seconds. Guess, not measured. */
const POLL_MS = 2000;

/** Calls `onChange` with the new text whenever it differs from the last one. */
export function watchSettings(file: string, onChange: (text: string) => void): void {
  let known = readFileSync(file, 'utf8');
  const check = (): void => {
    const text = readIfThere(file);
    if (text === undefined || text === known) return;
    known = text;
    onChange(text);
  };
  setInterval(check, POLL_MS).unref();
  process.on('SIGHUP', check);
}

function readIfThere(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    // The file may be missing while it is replaced. The settings in force stay, and the next look reads it again.
    return undefined;
  }
}
