/**
 * Standard output that never holds up the process: lines are written in the background, one write at a
 * time, and dropped while too many wait. A reader that stops reading loses lines, not requests. Owns the lines that wait;
 * relies on the reader of standard output, which may stop reading or be gone.
 */
import { write } from 'node:fs';

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;
/** Bytes that may wait: the lines of a few seconds. Guess, not measured. */
const MAXIMUM_WAITING_BYTES = 256 * 1024;
/** Pause before a full pipe is written to again, in milliseconds. Guess, not measured. */
const RETRY_MS = 50;

/** Writes bytes to a file descriptor; calls back with the number of bytes written. */
type RawWrite = (
  bytes: Buffer,
  callback: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Output stream for a logger. */
export class BoundedOutput {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private dropped = 0;

  constructor(
    private readonly rawWrite: RawWrite = (bytes, callback) =>
      write(STANDARD_OUTPUT, bytes, callback),
    private readonly maximumBytes = MAXIMUM_WAITING_BYTES,
  ) {}

  /** Lines that were dropped since the start. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Takes a line. */
  write(line: string): void {
    const bytes = Buffer.from(line, 'utf8');
    if (this.waitingBytes + bytes.length > this.maximumBytes) {
      this.dropped++;
      return;
    }
    this.waiting.push(bytes);
    this.waitingBytes += bytes.length;
    if (!this.isWriting) this.writeNext();
  }

  private writeNext(): void {
    const bytes = Buffer.concat(this.waiting);
    this.waiting = [];
    if (bytes.length === 0) return;
    this.isWriting = true;
    this.rawWrite(bytes, (error, written) => {
      this.isWriting = false;
      const isFull = error?.code === 'EAGAIN';
      const rest = isFull ? bytes : bytes.subarray(written);
      this.waitingBytes -= bytes.length - (error && !isFull ? 0 : rest.length);
      // Nobody can read a line about an output that is gone; later lines are tried again.
      if (error && !isFull) return;
      if (rest.length > 0) this.waiting.unshift(rest);
      if (isFull) setTimeout(() => this.writeNext(), RETRY_MS).unref();
      else this.writeNext();
    });
  }
}
