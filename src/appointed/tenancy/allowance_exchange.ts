/**
 * Requests for allowances and their replies. Owns what this proxy knows of leaders: which one it asks, the newest term, the
 * usual time of an answer, and which machines may count on reserves that this proxy reported to them. A leader may not
 * answer, or answer late; a failure is an outcome, never an error.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { AllowanceSurroundings } from './allowance_surroundings.js';
import { AnswerTime } from './answer_time.js';
import { LEADER_OVERLAP_MS, RESERVE_LIFE_MS, WAITING_ALLOWANCE_MS } from './operation_budget.js';

/** Connection of usual requests. */
const USUAL_LANE = 0;
/** Connection of requests that are sent a second time. */
const SECOND_LANE = 1;

/** Takes over a reply to a request that was sent at `askedAt`. */
type ReplyReceiver = (
  reply: whinyoke.IAllowanceReply,
  askedAt: number,
  isWaitingOnly: boolean,
) => void;

/** Exchange of one proxy. */
export class AllowanceExchange {
  private leader = '';
  private term = 0;
  private isLeaderUnaware = false;
  private readonly answerTime = new AnswerTime();
  /** When machines were sent all that is held, where no answer came: they may count on it. */
  private readonly unansweredAt = new Map<string, number>();
  private sequence = 0;
  private readonly begunAt: number;
  /** Whether replies of more than one term were taken over. */
  private hasSeveralTerms = false;

  constructor(
    private readonly surroundings: AllowanceSurroundings,
    private readonly receive: ReplyReceiver,
  ) {
    this.begunAt = surroundings.runtime.clock.now();
  }

  /** Whether the next request names all that is held, since the leader may not know it. */
  get mustReportAll(): boolean {
    return this.isLeaderUnaware;
  }

  /** Time without an answer after which callers' requests are sent a second time, in milliseconds. */
  get secondWayMs(): number {
    return this.answerTime.lateAfterMs;
  }

  /** Whether another machine leads than the one that was asked last; it is asked from now on. */
  noteLeader(): boolean {
    const leader = this.surroundings.leaderAddress();
    if (leader === '' || leader === this.leader) return false;
    this.leader = leader;
    this.isLeaderUnaware = true;
    return true;
  }

  /** Whether another machine may have become the leader, and count on reserves that this proxy reported to it. */
  mayCountElsewhere(now: number): boolean {
    const oldest = now - RESERVE_LIFE_MS - LEADER_OVERLAP_MS;
    return [...this.unansweredAt.values()].some((askedAt) => askedAt > oldest);
  }

  /** Sends a request to the leader; false when it gave no answer that counts. Never rejects. */
  async send(content: whinyoke.IAllowanceRequest, askedAt: number): Promise<boolean> {
    const { runtime, proxy, incarnation, log } = this.surroundings;
    const address = this.leader;
    const freshness = content.complete ? this.freshness : {};
    const identity = { proxy, incarnation, sequence: ++this.sequence };
    const allowanceRequest = { ...content, ...identity, ...freshness };
    const lane = content.waitingOnly ? SECOND_LANE : USUAL_LANE;
    if (content.complete) this.unansweredAt.set(address, askedAt);
    try {
      const answer = await runtime.messenger.request(
        address,
        { allowanceRequest },
        WAITING_ALLOWANCE_MS,
        lane,
      );
      this.unansweredAt.delete(address);
      this.answerTime.note(runtime.clock.now() - askedAt);
      return this.takeReply(answer.allowanceReply, content, askedAt);
    } catch (error) {
      log(Events.controlRequestFailed, { address, reason: messageOf(error) });
      return false;
    }
  }

  /**
   * Age of this run, as long as replies of one term at most were taken over, and that term: its leader may then count on nothing of
   * former leaders being in use here, since replies of earlier terms are dropped from now on.
   */
  private get freshness(): Pick<whinyoke.IAllowanceRequest, 'freshMs' | 'freshTerm'> {
    if (this.hasSeveralTerms) return {};
    const ageMs = Math.floor(this.surroundings.runtime.clock.now() - this.begunAt);
    return { freshMs: ageMs + 1, freshTerm: this.term };
  }

  private takeReply(
    reply: whinyoke.IAllowanceReply | null | undefined,
    content: whinyoke.IAllowanceRequest,
    askedAt: number,
  ): boolean {
    // A former leader that answers late knows less than the one that answered already.
    if (!reply?.accepted || (reply.term ?? 0) < this.term) return false;
    const term = reply.term ?? 0;
    this.hasSeveralTerms ||= this.term > 0 && term !== this.term;
    this.term = term;
    this.isLeaderUnaware = reply.needsAll ?? false;
    this.receive(reply, askedAt, content.waitingOnly ?? false);
    // A leader that does not know a tenant yet leaves it out of the reply, and is asked again after a pause.
    return (reply.allowances ?? []).length === (content.demands ?? []).length;
  }
}
