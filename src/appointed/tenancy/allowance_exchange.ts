/**
 * Requests for allowances and their replies. Owns what this proxy knows of leaders: which one it asks, the newest term, the
 * usual time of an answer, and which machines may count on reserves that this proxy reported to them. A leader may not
 * answer, or answer late; a failure is an outcome, never an error.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { AllowanceSurroundings } from './allowance_surroundings.js';
import { LEADER_OVERLAP_MS, RESERVE_LIFE_MS, WAITING_ALLOWANCE_MS } from './operation_budget.js';

/**
 * A request for operations that callers wait for is sent a second time, on another connection, when it is not answered
 * within so many times the usual time of an answer: the transport sends a lost packet again after 200 ms only, and callers
 * wait for a quarter of their objective. Guess, not measured.
 */
const SECOND_WAY_FACTOR = 4;
/** Shortest time until then, in milliseconds: a pause of a busy leader. Guess, not measured. */
const LEAST_SECOND_WAY_MS = 12;
/** Longest time until then, in milliseconds: more than an answer between two regions takes. Guess, not measured. */
const MOST_SECOND_WAY_MS = 150;
/** Weight of the newest answer in the usual time of an answer. Guess, not measured. */
const ANSWER_WEIGHT = 0.1;
/** Usual time of an answer before one was measured, in milliseconds. Guess, not measured. */
const FIRST_ANSWER_MS = 10;
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
  /** Smoothed time of an answer, in milliseconds. */
  private answerMs = FIRST_ANSWER_MS;
  /** When machines were sent all that is held, where no answer came: they may count on it. */
  private readonly unansweredAt = new Map<string, number>();
  private sequence = 0;

  constructor(
    private readonly surroundings: AllowanceSurroundings,
    private readonly receive: ReplyReceiver,
  ) {}

  /** Whether the next request names all that is held, since the leader may not know it. */
  get mustReportAll(): boolean {
    return this.isLeaderUnaware;
  }

  /** Time without an answer after which callers' requests are sent a second time, in milliseconds. */
  get secondWayMs(): number {
    const waitMs = this.answerMs * SECOND_WAY_FACTOR;
    return Math.min(MOST_SECOND_WAY_MS, Math.max(LEAST_SECOND_WAY_MS, waitMs));
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
    const allowanceRequest = { ...content, proxy, incarnation, sequence: ++this.sequence };
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
      this.answerMs += (runtime.clock.now() - askedAt - this.answerMs) * ANSWER_WEIGHT;
      return this.takeReply(answer.allowanceReply, content, askedAt);
    } catch (error) {
      log(Events.controlRequestFailed, { address, reason: messageOf(error) });
      return false;
    }
  }

  private takeReply(
    reply: whinyoke.IAllowanceReply | null | undefined,
    content: whinyoke.IAllowanceRequest,
    askedAt: number,
  ): boolean {
    // A former leader that answers late knows less than the one that answered already.
    if (!reply?.accepted || (reply.term ?? 0) < this.term) return false;
    this.term = reply.term ?? 0;
    this.isLeaderUnaware = reply.needsAll ?? false;
    this.receive(reply, askedAt, content.waitingOnly ?? false);
    // A leader that does not know a tenant yet leaves it out of the reply, and is asked again after a pause.
    return (reply.allowances ?? []).length === (content.demands ?? []).length;
  }
}
