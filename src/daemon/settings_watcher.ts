/**
 * Detects changes of a settings file, at SIGHUP and by polling its content. While the file is missing or unreadable, the
 * last content stays in force.
 */
import { readFileSync } from 'node:fs';

const POLL_MS = 2000;

/** Calls `onChange` with the new content whenever it differs from the last one. */
export function watchSettings(file: string, onChange: (text: string) => void): void {
  let known = readFileSync(file, 'utf8');
  const check = (): void => {
    const text = readIfPresent(file);
    if (text === undefined || text === known) return;
    known = text;
    onChange(text);
  };
  setInterval(check, POLL_MS).unref();
  process.on('SIGHUP', check);
}

function readIfPresent(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    // The file may be missing while it is being replaced; the next poll reads it again.
    return undefined;
  }
}
