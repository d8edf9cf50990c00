/**
 * Requests for allowances and their replies. Owns what this proxy knows of leaders: which one it asks, the newest term, the
 * usual time of an answer, and which machines may count on reserves that this proxy reported to them. A leader may not
 * answer, or answer late; a failure is an outcome, never an error.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { AllowanceClientDependencies } from './allowance_client_dependencies.js';
import { AdaptiveTimeout } from './adaptive_timeout.js';
import { LEADER_OVERLAP_MS, RESERVE_LEASE_MS, GRANT_VALIDITY_MS } from './operation_budget.js';

/** Connection of usual requests. */
const DEFAULT_LANE = 0;
/** Connection of requests that are sent a second time. */
const ALTERNATE_LANE = 1;

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
  private needsFullReport = false;
  private readonly responseTimeout = new AdaptiveTimeout();
  /** When machines were sent all that is held, where no answer came: they may count on it. */
  private readonly unansweredReportAt = new Map<string, number>();
  private sequence = 0;
  private readonly startedAt: number;
  /** Whether replies of more than one term were taken over. */
  private hasSeenSeveralTerms = false;

  constructor(
    private readonly dependencies: AllowanceClientDependencies,
    private readonly onReply: ReplyReceiver,
  ) {
    this.startedAt = dependencies.runtime.clock.now();
  }

  /** Whether the next request names all that is held, since the leader may not know it. */
  get mustReportAllReserves(): boolean {
    return this.needsFullReport;
  }

  /** Time without an answer after which callers' requests are sent a second time, in milliseconds. */
  get alternateRouteDelayMs(): number {
    return this.responseTimeout.timeoutMs;
  }

  /** Whether another machine leads than the one that was asked last; it is asked from now on. */
  switchToNewLeader(): boolean {
    const leader = this.dependencies.leaderAddress();
    if (leader === '' || leader === this.leader) return false;
    this.leader = leader;
    this.needsFullReport = true;
    return true;
  }

  /** Whether another machine may have become the leader, and count on reserves that this proxy reported to it. */
  mayOtherLeaderCountReserves(now: number): boolean {
    const oldest = now - RESERVE_LEASE_MS - LEADER_OVERLAP_MS;
    return [...this.unansweredReportAt.values()].some((askedAt) => askedAt > oldest);
  }

  /** Sends a request to the leader; false when it gave no answer that counts. Never rejects. */
  async send(content: whinyoke.IAllowanceRequest, askedAt: number): Promise<boolean> {
    const { runtime, proxy, incarnation, log } = this.dependencies;
    const address = this.leader;
    const freshnessFields = content.complete ? this.freshness : {};
    const identity = { proxy, incarnation, sequence: ++this.sequence };
    const allowanceRequest = { ...content, ...identity, ...freshnessFields };
    const lane = content.waitingOnly ? ALTERNATE_LANE : DEFAULT_LANE;
    if (content.complete) this.unansweredReportAt.set(address, askedAt);
    try {
      const answer = await runtime.messenger.request(
        address,
        { allowanceRequest },
        GRANT_VALIDITY_MS,
        lane,
      );
      this.unansweredReportAt.delete(address);
      this.responseTimeout.recordResponse(runtime.clock.now() - askedAt);
      return this.applyReply(answer.allowanceReply, content, askedAt);
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
    if (this.hasSeenSeveralTerms) return {};
    const ageMs = Math.floor(this.dependencies.runtime.clock.now() - this.startedAt);
    return { freshMs: ageMs + 1, freshTerm: this.term };
  }

  private applyReply(
    reply: whinyoke.IAllowanceReply | null | undefined,
    content: whinyoke.IAllowanceRequest,
    askedAt: number,
  ): boolean {
    // A former leader that answers late knows less than the one that answered already.
    if (!reply?.accepted || (reply.term ?? 0) < this.term) return false;
    const term = reply.term ?? 0;
    this.hasSeenSeveralTerms ||= this.term > 0 && term !== this.term;
    this.term = term;
    this.needsFullReport = reply.needsAll ?? false;
    this.onReply(reply, askedAt, content.waitingOnly ?? false);
    // A leader that does not know a tenant yet leaves it out of the reply, and is asked again after a pause.
    return (reply.allowances ?? []).length === (content.demands ?? []).length;
  }
}
