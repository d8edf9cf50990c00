/** Knows when a caller's connection may be closed without cutting off anything in progress. */

/** A command that was read and has no answer yet. */
export interface PendingCommand {
  readonly name: string;
  /** Whether the protocol gives the command an answer. */
  readonly isAnswered: boolean;
  /** When it was read, on the clock of this process. */
  readonly readAt: number;
}

/** Activity of one connection. */
export class ConnectionActivity {
  private readonly running: PendingCommand[] = [];
  private inTransaction = false;
  private closing = false;
  private closed = false;
  /** The command that was read last. */
  lastCommand: PendingCommand | undefined;

  /**
   * @param close - called once, when a close was asked for and nothing is in progress
   */
  constructor(private readonly close: () => void) {}

  /** Whether commands that arrive now are not run any more. */
  get isOver(): boolean {
    return this.closed;
  }

  /** Commands whose callers wait for an answer, the one that runs first. */
  get unanswered(): readonly PendingCommand[] {
    return this.closed ? [] : this.running.filter((command) => command.isAnswered);
  }

  /** A command arrived. */
  commandStarted(command: PendingCommand): void {
    this.lastCommand = command;
    this.running.push(command);
  }

  /** The oldest command was answered. */
  commandEnded(): void {
    this.running.shift();
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

  /** Notes that the connection is closed now, whatever is in progress. */
  end(): void {
    this.closed = true;
  }

  private closeIfIdle(): void {
    const isIdle = this.running.length === 0 && !this.inTransaction;
    if (!this.closing || !isIdle || this.closed) return;
    this.closed = true;
    this.close();
  }
}
