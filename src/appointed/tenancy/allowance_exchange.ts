/**
 * Sends allowance requests to the control leader and filters its replies. Tracks the leader and the newest term, and
 * which control machines may assume that this proxy still holds reserves that it reported to them. Replies of earlier
 * terms are dropped. A request that fails is logged and reported as `false`.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { AllowanceClientDependencies } from './allowance_client_dependencies.js';
import { AdaptiveTimeout } from './adaptive_timeout.js';
import { LEADER_OVERLAP_MS, RESERVE_LEASE_MS, GRANT_VALIDITY_MS } from './operation_budget.js';

const DEFAULT_LANE = 0;
/** A separate connection for repeated requests, so that packet loss on the default one does not delay them. */
const ALTERNATE_LANE = 1;

/** Receives the reply to a request that was sent at `askedAt`. */
type ReplyReceiver = (
  reply: whinyoke.IAllowanceReply,
  askedAt: number,
  isWaitingOnly: boolean,
) => void;

/** Exchange of allowance messages between one proxy and the leader. */
export class AllowanceExchange {
  private leader = '';
  private term = 0;
  private needsFullReport = false;
  private readonly responseTimeout = new AdaptiveTimeout();
  /** Send times of full reports without a reply, by address: the machine may have received the report and count on it. */
  private readonly unansweredReportAt = new Map<string, number>();
  private sequence = 0;
  private readonly startedAt: number;
  /** Whether replies of more than one term were applied. */
  private hasSeenSeveralTerms = false;

  constructor(
    private readonly dependencies: AllowanceClientDependencies,
    private readonly onReply: ReplyReceiver,
  ) {
    this.startedAt = dependencies.runtime.clock.now();
  }

  /** Whether the next request must report all reserves, because the leader may not know them. */
  get mustReportAllReserves(): boolean {
    return this.needsFullReport;
  }

  /** Time without a reply after which callers' requests are repeated on another connection. */
  get alternateRouteDelayMs(): number {
    return this.responseTimeout.timeoutMs;
  }

  /** Switches to the current leader; returns whether it differs from the previous one. */
  switchToNewLeader(): boolean {
    const leader = this.dependencies.leaderAddress();
    if (leader === '' || leader === this.leader) return false;
    this.leader = leader;
    this.needsFullReport = true;
    return true;
  }

  /** Whether another control machine may lead by now and count on reserves that this proxy reported to it. */
  mayOtherLeaderCountReserves(now: number): boolean {
    const oldest = now - RESERVE_LEASE_MS - LEADER_OVERLAP_MS;
    return [...this.unansweredReportAt.values()].some((askedAt) => askedAt > oldest);
  }

  /** Sends a request to the leader; resolves with false if there was no valid reply. Never rejects. */
  async send(content: whinyoke.IAllowanceRequest, askedAt: number): Promise<boolean> {
    const { runtime, proxy, incarnation, log } = this.dependencies;
    const address = this.leader;
    const freshnessFields = content.complete ? this.freshnessFields : {};
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
   * Age of this process and the term of its replies, as long as it has applied replies of at most one term. The leader
   * may then assume that nothing granted by earlier leaders is in use here, because replies of earlier terms are dropped.
   */
  private get freshnessFields(): Pick<whinyoke.IAllowanceRequest, 'freshMs' | 'freshTerm'> {
    if (this.hasSeenSeveralTerms) return {};
    const ageMs = Math.floor(this.dependencies.runtime.clock.now() - this.startedAt);
    return { freshMs: ageMs + 1, freshTerm: this.term };
  }

  private applyReply(
    reply: whinyoke.IAllowanceReply | null | undefined,
    content: whinyoke.IAllowanceRequest,
    askedAt: number,
  ): boolean {
    // A late reply of an earlier leader does not account for what the current one knows.
    if (!reply?.accepted || (reply.term ?? 0) < this.term) return false;
    const term = reply.term ?? 0;
    this.hasSeenSeveralTerms ||= this.term > 0 && term !== this.term;
    this.term = term;
    this.needsFullReport = reply.needsAll ?? false;
    this.onReply(reply, askedAt, content.waitingOnly ?? false);
    // A leader omits tenants that it does not know yet; the caller retries after a pause.
    return (reply.allowances ?? []).length === (content.demands ?? []).length;
  }
}
