/** Knows when a caller's connection may be closed without cutting off anything in progress. */

/** Activity of one connection. */
export class ConnectionActivity {
  private running = 0;
  private inTransaction = false;
  private closing = false;
  private closed = false;

  /**
   * @param close - called once, when a close was asked for and nothing is in progress
   */
  constructor(private readonly close: () => void) {}

  /** Whether commands that arrive now are not run any more. */
  get isOver(): boolean {
    return this.closed;
  }

  /** A command arrived. */
  commandStarted(): void {
    this.running++;
  }

  /** A command was answered. */
  commandEnded(): void {
    this.running--;
    this.closeIfIdle();
  }

  /** Notes whether a transaction is open. */
  setInTransaction(inTransaction: boolean): void {
    this.inTransaction = inTransaction;
  }

  /** Asks for the connection to be closed as soon as nothing is in progress. */
  closeWhenIdle(): void {
    this.closing = true;
    this.closeIfIdle();
  }

  private closeIfIdle(): void {
    const isIdle = this.running === 0 && !this.inTransaction;
    if (!this.closing || !isIdle || this.closed) return;
    this.closed = true;
    this.close();
  }
}
