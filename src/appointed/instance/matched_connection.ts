/**
 * Matches the answers on a connection to an instance with the commands that were sent on it.
 *
 * Answers carry no identifier of their command, and an instance may send a second copy of an answer at any later time. So an answer counts
 * for the oldest unanswered command only if it can't be a copy of an earlier one:
 *
 * - It must fit the command (answer_expectation.ts). A copy that does not fit is dropped.
 * - A signature occurs once, so a signed answer that came before is a copy and is dropped.
 * - Another answer that is equal to an earlier one may be a copy. It counts once the answers to further commands arrive
 *   in their places: that of a signed answer, or those of a check that has no effect (see {@link STATE_CHECK}). With a copy
 *   in its place, the real answer arrives in the place of the check and does not fit there.
 *
 * Whatever fits nothing closes the connection; its commands may have run. Design: docs/design/answer-matching.md.
 */
import { BackendConnectionLostError } from '../../errors/errors.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import { isAdministrative, misfitOf } from './answer_expectation.js';
import {
  type InstanceChannel,
  type InstanceMessage,
  UnsendableCommandError,
} from './instance_channel.js';
import {
  ConnectError,
  type ConnectFailure,
  type InstanceAnswer,
  type InstanceConnection,
  type InstanceErrorKind,
  type InstanceTarget,
  type TransactionState,
} from './instance_connection.js';
import { RecentAnswers, identityOf, isSigned } from './recent_answers.js';
import type { InstanceCommand, PreparedShape } from './statement.js';
import type { Position } from '../../positions/position.js';

/** What happened to an answer that did not belong to a command. */
export interface UnexpectedAnswer {
  /** Kind of the oldest unanswered command; `none` if there is none. */
  readonly command: string;
  readonly reason: string;
  /** `dropped`: a copy of an earlier answer; `closed`: the connection was closed. */
  readonly outcome: 'dropped' | 'closed';
}

/** Shape that a check prepares; nothing executes it. */
const CHECK_SHAPE: PreparedShape = { access: 'read', shape: 'check' };
const INTERNAL_REQUEST_ID = '-';
/** A command without an effect, whose answer differs from those that tell a status. */
const SIMPLE_CHECK: readonly InstanceCommand[] = [{ kind: 'prepare', prepared: CHECK_SHAPE }];
/**
 * Commands without an effect outside a transaction, whose answers differ in their state. The first one shows a BEGIN that ran though
 * it seems refused.
 */
const STATE_CHECK: readonly InstanceCommand[] = [
  ...SIMPLE_CHECK,
  { kind: 'begin', readOnly: true },
  { kind: 'rollback', id: INTERNAL_REQUEST_ID },
];
/** Longer checks, for a connection on which copies were seen: more copies would have to arrive in their pattern. */
const LONG_STATE_CHECK = [...STATE_CHECK, ...STATE_CHECK];
const LONG_CHECK_WHILE_OPEN = Array<InstanceCommand>(4).fill(SIMPLE_CHECK[0]!);

const CONNECT_FAILURES: Partial<Record<InstanceErrorKind, ConnectFailure>> = {
  wrongInstance: 'wrongInstance',
  connectionLimit: 'connectionLimit',
  busy: 'busy',
};

/** A command that was sent and has no answer yet. */
interface PendingCommand {
  readonly command: InstanceCommand;
  /** Whether it is part of a check. */
  readonly isCheck: boolean;
  resolve(answer: InstanceAnswer): void;
  reject(error: Error): void;
}

/** A command with an answer that may be a copy. */
interface UnconfirmedAnswer {
  readonly pending: PendingCommand;
  readonly answer: InstanceAnswer;
}

/** The start of the connection, while it is not answered. */
interface PendingStart {
  resolve(position: Position | undefined): void;
  reject(error: Error): void;
}

export class MatchedConnection implements InstanceConnection {
  /** Called once when the connection ends. */
  onClosed: (() => void) | undefined;
  private readonly recent = new RecentAnswers();
  private readonly pending: PendingCommand[] = [];
  private unconfirmed: UnconfirmedAnswer[] = [];
  /** Answers that the check in progress confirms. */
  private checked: readonly UnconfirmedAnswer[] = [];
  private pendingStart: PendingStart | undefined;
  /** State after the newest answer. */
  private state: TransactionState = 'idle';
  private hasSeenCopy = false;
  private isClosed = false;

  constructor(
    private readonly channel: InstanceChannel,
    private readonly clock: Clock,
    private readonly onUnexpected: (unexpected: UnexpectedAnswer) => void,
  ) {
    channel.onMessage = (message) => this.receive(message);
    channel.onClosed = (reason) => this.end(reason);
    this.isClosed = channel.closed;
  }

  get closed(): boolean {
    return this.isClosed;
  }

  /** Starts the connection for a tenant; resolves with the position of the instance. @throws ConnectError */
  start(target: InstanceTarget, tenant: string, timeoutMs: number): Promise<Position | undefined> {
    if (this.isClosed) {
      return Promise.reject(new ConnectError('closed before the start', { failure: 'silent' }));
    }
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(timeoutMs, () => this.end('no answer to the start'));
      this.pendingStart = settlingOnce(timer, resolve, reject);
      try {
        this.channel.sendStart(target, tenant);
      } catch (error) {
        this.end(error instanceof Error ? error.message : 'the start was not sent');
      }
    });
  }

  /**
   * Runs a command; closes the connection on a timeout.
   * @throws UnsendableCommandError
   */
  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer> {
    // The rest of an answer to no command would become a part of the answer to this one.
    if (this.pending.length === 0 && this.channel.isReceiving) {
      this.closeUnexpected('a part of an answer to no command');
    }
    if (this.isClosed) {
      const error = new BackendConnectionLostError('connection is closed', { sent: false });
      return Promise.reject(error);
    }
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(timeoutMs, () =>
        this.end(`no answer within ${timeoutMs} ms`),
      );
      this.send({ command, isCheck: false, ...settlingOnce(timer, resolve, reject) });
    });
  }

  /** Closes the connection; commands in flight are rejected. */
  close(): void {
    this.end('closed');
  }

  private send(pending: PendingCommand): void {
    try {
      this.channel.send(pending.command);
    } catch (error) {
      if (!(error instanceof UnsendableCommandError)) throw error;
      pending.reject(error);
      return;
    }
    this.pending.push(pending);
  }

  private receive(message: InstanceMessage): void {
    if (this.isClosed) return;
    switch (message.kind) {
      case 'greeting':
        this.receiveGreeting(message.position);
        return;
      case 'answer':
        this.receiveAnswer(message.answer);
        return;
      case 'brokenOff':
        this.refuseStart(message.error.kind, message.error.text);
        return;
      case 'violation':
        this.closeUnexpected(message.problem);
    }
  }

  private receiveGreeting(position: Position | undefined): void {
    const { pendingStart } = this;
    if (!pendingStart) {
      this.drop('a second answer to the start');
      return;
    }
    this.pendingStart = undefined;
    pendingStart.resolve(position);
  }

  private refuseStart(kind: InstanceErrorKind, text: string): void {
    const { pendingStart } = this;
    this.pendingStart = undefined;
    pendingStart?.reject(new ConnectError(text, { failure: CONNECT_FAILURES[kind] ?? 'refused' }));
  }

  private receiveAnswer(answer: InstanceAnswer): void {
    if (this.pendingStart) {
      if (answer.error) this.refuseStart(answer.error.kind, answer.error.text);
      else this.closeUnexpected('an answer in place of a greeting');
      return;
    }
    const identity = identityOf(answer);
    const isRepeated = this.recent.has(identity);
    const misfit = this.misfitOf(answer, isRepeated);
    const [pending] = this.pending;
    if (!pending || misfit !== undefined) {
      this.handleMisfit(misfit ?? 'an answer to no command', isRepeated, answer);
      return;
    }
    this.recent.add(identity, this.clock.now());
    this.pending.shift();
    this.state = answer.state;
    this.accept(pending, answer, isRepeated);
  }

  /** Why an answer can't be that of the oldest unanswered command; undefined if it may be. */
  private misfitOf(answer: InstanceAnswer, isRepeated: boolean): string | undefined {
    const [pending] = this.pending;
    if (!pending) return 'an answer to no command';
    if (isRepeated && isSigned(answer)) return 'a signature that came before';
    if (pending.isCheck && answer.error) return `the check was refused: ${answer.error.kind}`;
    return misfitOf(pending.command, this.state, answer);
  }

  /**
   * A copy is dropped. During a check, one without a signature may be the real answer in whose place another copy was taken; that is
   * harmless only if both say that the command succeeded.
   */
  private handleMisfit(reason: string, isRepeated: boolean, answer: InstanceAnswer): void {
    const isHarmless = isSigned(answer) || !this.pending[0]?.isCheck || this.tellsSuccess(answer);
    if (isRepeated && isHarmless) this.drop(reason);
    else this.closeUnexpected(reason);
  }

  private tellsSuccess(misfit: InstanceAnswer): boolean {
    const answers = [misfit, ...this.checked.map(({ answer }) => answer)];
    return answers.every(({ error, status }) => !error && !status);
  }

  private accept(pending: PendingCommand, answer: InstanceAnswer, isRepeated: boolean): void {
    if (pending.isCheck) {
      pending.resolve(answer);
      return;
    }
    if (isSigned(answer) || (!isRepeated && isOpening(pending, answer))) {
      this.confirm(this.unconfirmed.splice(0));
      pending.resolve(answer);
      return;
    }
    if (!isRepeated && this.unconfirmed.length === 0) pending.resolve(answer);
    else this.unconfirmed.push({ pending, answer });
    if (this.pending.length === 0 && this.unconfirmed.length > 0) this.startCheck();
  }

  /** Sends the check that confirms all answers so far. */
  private startCheck(): void {
    if (this.state === 'failed') {
      this.closeUnexpected('an answer that may be a copy, in a failed transaction');
      return;
    }
    this.checked = this.unconfirmed;
    this.unconfirmed = [];
    const commands = this.checkCommands();
    commands.forEach((command, index) => {
      const isLast = index === commands.length - 1;
      const resolve = (): void => {
        if (!isLast) return;
        const confirmed = this.checked;
        this.checked = [];
        this.confirm(confirmed);
      };
      // The answers that the check was to confirm are rejected by `end`.
      this.send({ command, isCheck: true, resolve, reject: () => undefined });
    });
  }

  private checkCommands(): readonly InstanceCommand[] {
    const isIdle = this.state === 'idle';
    if (this.hasSeenCopy) return isIdle ? LONG_STATE_CHECK : LONG_CHECK_WHILE_OPEN;
    const tellsStatus = this.checked.every(({ pending }) => isAdministrative(pending.command));
    return isIdle && !tellsStatus ? STATE_CHECK : SIMPLE_CHECK;
  }

  private confirm(answers: readonly UnconfirmedAnswer[]): void {
    for (const { pending, answer } of answers) pending.resolve(answer);
  }

  private drop(reason: string): void {
    this.hasSeenCopy = true;
    this.report(reason, 'dropped');
  }

  private closeUnexpected(reason: string): void {
    this.report(reason, 'closed');
    this.end(reason);
  }

  private report(reason: string, outcome: UnexpectedAnswer['outcome']): void {
    this.onUnexpected({ command: this.pending[0]?.command.kind ?? 'none', reason, outcome });
  }

  private end(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const unanswered = [...this.checked, ...this.unconfirmed].map(({ pending }) => pending);
    unanswered.push(...this.pending.splice(0));
    this.channel.close(unanswered.length > 0 || this.pendingStart !== undefined);
    this.pendingStart?.reject(new ConnectError(reason, { failure: 'silent' }));
    for (const command of unanswered) {
      command.reject(new BackendConnectionLostError(reason, { sent: true }));
    }
    this.onClosed?.();
  }
}

/** Whether the answer opens a transaction: its state differs from those of the answers before it. */
function isOpening({ command }: PendingCommand, { error }: InstanceAnswer): boolean {
  return command.kind === 'begin' && !error;
}

/** Cancels the timer when one of both is called. */
function settlingOnce<Value>(
  timer: Timer,
  resolve: (value: Value) => void,
  reject: (error: Error) => void,
): { readonly resolve: (value: Value) => void; readonly reject: (error: Error) => void } {
  return {
    resolve: (value) => {
      timer.cancel();
      resolve(value);
    },
    reject: (error) => {
      timer.cancel();
      reject(error);
    },
  };
}
