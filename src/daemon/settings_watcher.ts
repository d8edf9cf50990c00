/** Notices changed settings files: at SIGHUP, and by looking at the content every few seconds. */
import { readFileSync } from 'node:fs';

const POLL_MS = 2000;

/** Calls `onChange` with the new text whenever it differs from the last one; returns what ends it. */
export function watchSettings(file: string, onChange: (text: string) => void): () => void {
  let known = readFileSync(file, 'utf8');
  const check = (): void => {
    try {
      const text = readFileSync(file, 'utf8');
      if (text === known) return;
      known = text;
      onChange(text);
    } catch {
      // The file may be missing for a moment while it is replaced.
    }
  };
  const timer = setInterval(check, POLL_MS);
  timer.unref();
  process.on('SIGHUP', check);
  return () => {
    clearInterval(timer);
    process.off('SIGHUP', check);
  };
}
