/**
 * Client of the control machines for operator commands. Finds the leader and resends submissions under the same identifier,
 * so that a lost reply cannot cause a change to be accepted twice.
 */
import { InvalidDocumentError, PeerUnreachableError, WhinyokeError } from '../errors/errors.js';
import { whinyoke } from '../protocol/generated/messages.js';
import { type Clock, type MessageBody, type Messenger, delay } from '../runtime/runtime.js';

const { SubmissionOutcome, Verdict } = whinyoke;

const REQUEST_TIMEOUT_MS = 2000;
const RETRY_MS = 200;

/** Outcome of a submission. */
export interface SubmissionResult {
  readonly reply: whinyoke.ISubmitReply;
  /** Identifier under which the submission may safely be resent. */
  readonly submissionId: string;
}

/** Status of one control machine; undefined if it did not answer. */
export interface ControlStatus {
  readonly address: string;
  readonly status: whinyoke.IStatusReply | undefined;
}

/** Client of all control machines of a deployment. */
export class OperatorClient {
  constructor(
    private readonly controls: readonly string[],
    private readonly messenger: Messenger,
    private readonly clock: Clock,
  ) {
    if (controls.length === 0) throw new InvalidDocumentError('no control machine is given');
  }

  /**
   * Resends a submission until it has a final outcome or the timeout expires. All attempts carry the same identifier, so
   * the submission is accepted at most once.
   */
  async submit(submission: whinyoke.ISubmitRequest, timeoutMs: number): Promise<SubmissionResult> {
    const deadline = this.clock.now() + timeoutMs;
    const submissionId = submission.submissionId ?? '';
    let mayHaveRun = false;
    let target = 0;
    let address = this.controls[0]!;
    let lastReply: whinyoke.ISubmitReply | undefined;
    do {
      const reply = await this.trySubmit(address, submission);
      if (reply && isFinal(reply)) return { reply, submissionId };
      mayHaveRun ||= !reply || reply.verdict === Verdict.MAY_HAVE_RUN;
      lastReply = reply ?? lastReply;
      address = reply?.leaderAddress || this.controls[++target % this.controls.length]!;
      if (!reply?.leaderAddress) await delay(this.clock, RETRY_MS);
    } while (this.clock.now() < deadline);
    return { reply: timeoutReply(lastReply, mayHaveRun), submissionId };
  }

  /** Status of every control machine. */
  statuses(): Promise<ControlStatus[]> {
    return Promise.all(
      this.controls.map(async (address) => {
        const body = await this.ask(address, { statusRequest: {} });
        return { address, status: body?.statusReply ?? undefined };
      }),
    );
  }

  /** Newest accepted changes, from the control machine with the newest revision. */
  async history(limit: number): Promise<readonly whinyoke.IHistoryEntry[]> {
    const bodies = await Promise.all(
      this.controls.map((address) => this.ask(address, { historyRequest: { limit } })),
    );
    const lists = bodies.flatMap((body) => (body?.historyReply ? [body.historyReply] : []));
    if (lists.length === 0) throw new WhinyokeError('no control machine answers');
    const newest = (reply: whinyoke.IHistoryReply): number => reply.entries?.[0]?.revision ?? 0;
    lists.sort((left, right) => newest(right) - newest(left));
    return lists[0]?.entries ?? [];
  }

  private async trySubmit(
    address: string,
    submission: whinyoke.ISubmitRequest,
  ): Promise<whinyoke.ISubmitReply | undefined> {
    const body = await this.ask(address, { submitRequest: submission });
    return body?.submitReply ?? undefined;
  }

  private async ask(address: string, body: MessageBody): Promise<MessageBody | undefined> {
    try {
      return await this.messenger.request(address, body, REQUEST_TIMEOUT_MS);
    } catch (error) {
      if (error instanceof PeerUnreachableError) return undefined;
      throw error;
    }
  }
}

function isFinal(reply: whinyoke.ISubmitReply): boolean {
  const outcome = reply.outcome ?? SubmissionOutcome.ACCEPTED;
  return outcome !== SubmissionOutcome.NOT_LEADER && outcome !== SubmissionOutcome.NO_QUORUM;
}

function timeoutReply(
  lastReply: whinyoke.ISubmitReply | undefined,
  mayHaveRun: boolean,
): whinyoke.ISubmitReply {
  return {
    outcome: SubmissionOutcome.NO_QUORUM,
    verdict: mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
    detail: lastReply?.detail ?? 'no control machine answers',
    retryAfterMs: lastReply?.retryAfterMs,
  };
}
