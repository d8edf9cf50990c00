/**
 * Model of an instance at the far end of one connection, to enumerate the orders of real answers and copies. It runs a command when its
 * answer is delivered. Its log does not move, so that equal answers have equal positions.
 */
import type {
  InstanceChannel,
  InstanceMessage,
} from '../../src/appointed/instance/instance_channel.js';
import type {
  InstanceAnswer,
  InstanceErrorKind,
  TransactionState,
} from '../../src/appointed/instance/instance_connection.js';
import { MatchedConnection } from '../../src/appointed/instance/matched_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import type { Clock } from '../../src/runtime/runtime.js';

const TIMEOUT_MS = 1000;
const POSITION = { term: 1, sequence: 7 };
/** Clock on which no time passes. */
const STOPPED_CLOCK = {
  now: () => 0,
  setTimer: () => ({ cancel: () => undefined }),
} as unknown as Clock;

/** What became of a command at the instance. */
export interface Fate {
  readonly command: InstanceCommand;
  hasRun: boolean;
  /** Its own signature, if it runs a statement and has run. */
  signature: string | undefined;
}

export class ModelInstance implements InstanceChannel {
  onMessage: (message: InstanceMessage) => void = () => undefined;
  onClosed: (reason: string) => void = () => undefined;
  closed = false;
  readonly isReceiving = false;
  state: TransactionState = 'idle';
  /** Commands that were received and not run, in their order. */
  readonly queue: Fate[] = [];
  /** Different answers so far; a copy may be one of them. */
  readonly answers: InstanceAnswer[] = [];
  readonly connection = new MatchedConnection(this, STOPPED_CLOCK, () => undefined);
  private readonly known = new Set<string>();
  private isPrepared = false;
  private signatureCount = 0;

  constructor() {
    void this.connection.start({ id: 'i', group: 'g', address: '' }, '', TIMEOUT_MS);
    this.onMessage({ kind: 'greeting', position: POSITION });
  }

  sendStart(): void {
    // The constructor answers it.
  }

  send(command: InstanceCommand): void {
    this.queue.push({ command, hasRun: false, signature: undefined });
  }

  close(): void {
    this.closed = true;
  }

  /** Sends a command; returns its result, and its fate at the instance. */
  run(command: InstanceCommand): { result: Promise<InstanceAnswer>; fate: Fate } {
    const result = this.connection.run(command, TIMEOUT_MS);
    return { result, fate: this.queue.at(-1)! };
  }

  /** Runs the oldest command, or refuses it, and answers it. */
  answerNext(refusal?: InstanceErrorKind): void {
    const fate = this.queue.shift()!;
    const answer = refusal ? this.refuse(refusal) : this.execute(fate);
    const identity = JSON.stringify(answer);
    if (!this.known.has(identity)) this.answers.push(answer);
    this.known.add(identity);
    this.deliver(answer);
  }

  /** Delivers an answer, the one of `answerNext` or a copy of an earlier one. */
  deliver(answer: InstanceAnswer): void {
    this.onMessage({ kind: 'answer', answer });
  }

  private execute(fate: Fate): InstanceAnswer {
    const { command } = fate;
    const problem = this.problemOf(command);
    if (problem) return this.refuse(problem);
    fate.hasRun = true;
    if (command.kind === 'prepare') this.isPrepared = true;
    this.state = stateAfter(command, this.state);
    const isStatement = command.kind === 'data' || command.kind === 'commit';
    if (isStatement) fate.signature = `s${++this.signatureCount}`;
    const isRead = command.kind === 'data' && command.statement.kind !== 'write';
    return {
      rows: isRead ? ['row'] : [],
      signature: fate.signature ?? '-',
      state: this.state,
      position: POSITION,
    };
  }

  /** Why it does not run a command in its state. */
  private problemOf(command: InstanceCommand): InstanceErrorKind | undefined {
    if (this.state === 'failed' && !endsTransaction(command)) return 'malformed';
    if (command.kind === 'begin' && this.state !== 'idle') return 'malformed';
    const isExecute = command.kind === 'data' && command.statement.kind === 'execute';
    return isExecute && !this.isPrepared ? 'unknownName' : undefined;
  }

  /** A busy instance keeps the transaction; any other refusal fails it. */
  private refuse(kind: InstanceErrorKind): InstanceAnswer {
    if (kind !== 'busy' && this.state === 'open') this.state = 'failed';
    const error = { kind, text: 'i' };
    return { rows: [], signature: '', error, state: this.state, position: POSITION };
  }
}

function endsTransaction({ kind }: InstanceCommand): boolean {
  return kind === 'commit' || kind === 'rollback';
}

function stateAfter(command: InstanceCommand, before: TransactionState): TransactionState {
  if (endsTransaction(command)) return 'idle';
  return command.kind === 'begin' ? 'open' : before;
}
