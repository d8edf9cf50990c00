/**
 * Non-blocking standard output with a bounded buffer. Lines are written asynchronously, one write at a time, and dropped
 * while the buffer is full, so that a log reader that stops reading costs log lines but never delays requests.
 */
import { write } from 'node:fs';

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;
/** Maximum size of the buffer, in bytes. */
const MAXIMUM_WAITING_BYTES = 256 * 1024;
/** Delay before the next write to a full pipe, in milliseconds. */
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

  /** Number of lines dropped since the process started. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Queues a line, or drops it if the buffer is full. */
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
      // The output is closed, so the error cannot be logged. The next line triggers another write.
      if (error && !isFull) return;
      if (rest.length > 0) this.waiting.unshift(rest);
      if (isFull) setTimeout(() => this.writeNext(), RETRY_MS).unref();
      else this.writeNext();
    });
  }
}
