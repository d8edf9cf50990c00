/**
 * Detects changes of a settings file, at SIGHUP and by polling its content. While the file is missing or unreadable, the
 * last content stays in force. A change between the start of the process and the call counts, too.
 */
import { readFileSync } from 'node:fs';

const POLL_MS = 2000;

/**
 * Calls `onChange` with the new content whenever it differs from the last one.
 * @param inForce - content that the process started with
 */
export function watchSettings(
  file: string,
  inForce: string,
  onChange: (text: string) => void,
): void {
  let known = inForce;
  const check = (): void => {
    const text = readIfPresent(file);
    if (text === undefined || text === known) return;
    known = text;
    onChange(text);
  };
  setInterval(check, POLL_MS).unref();
  process.on('SIGHUP', check);
  check();
}

function readIfPresent(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    // The file may be missing while it is being replaced; the next poll reads it again.
    return undefined;
  }
}
