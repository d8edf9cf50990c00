/**
 * A proxy's side of the limit on operations: takes allowances out of its reserves, and asks the leading control machine
 * where it has none. One request at a time carries everything that waits, so the number of requests is bounded by the
 * time of a trip, whatever tenants send.
 */
import { messageOf } from '../../errors/errors.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { type Runtime, type Timer, delay } from '../../runtime/runtime.js';
import { overLimitRetryMs } from '../routing/retry_after.js';
import type { AdmittedOperation } from './admitted_operation.js';
import {
  GIVE_BACK_MS,
  LEADER_OVERLAP_MS,
  type QuotaRules,
  RESERVE_LIFE_MS,
  WAITING_ALLOWANCE_MS,
} from './operation_budget.js';
import { type OperationVerdict, GRANTED, TenantAllowance } from './tenant_allowance.js';
import type { Tenant } from './tenant.js';

/** What the client needs of its proxy. */
export interface AllowanceSurroundings {
  readonly runtime: Pick<Runtime, 'clock' | 'random' | 'messenger'>;
  readonly log: DecisionLog;
  readonly rules: QuotaRules;
  readonly proxy: string;
  readonly incarnation: string;
  /** Address of the leading control machine; empty while unknown. */
  leaderAddress(): string;
}

/** How long requests for reserves are gathered, in milliseconds: callers wait for none of them. */
const GATHER_MS = 150;
/**
 * A request for operations that callers wait for is sent a second time, on another connection, when it is not answered
 * within so many times the usual time of an answer: the transport sends a lost packet again after 200 ms only, and callers
 * wait for a quarter of their objective.
 */
const SECOND_WAY_FACTOR = 4;
/** Bounds of that time, in milliseconds: a pause of a busy leader, and longer than between two regions. */
const SECOND_WAY_RANGE_MS = [12, 150] as const;
/** Weight of the newest answer in the usual time of an answer. */
const ANSWER_WEIGHT = 0.1;
/** Usual time of an answer before one was measured, in milliseconds. */
const FIRST_ANSWER_MS = 10;
/** Pause after a request that failed, in milliseconds. */
const RETRY_PAUSE_MS = 25;
/** A tenant over its limit is told at most so often, in milliseconds. */
const DRY_LOG_SPACING_MS = 1000;
/** Tenants that nobody asked for are forgotten after this time, in milliseconds. */
const KEPT_MS = 10_000;

/** Client of one proxy. */
export class AllowanceClient {
  /** How operations were counted, since the start. */
  readonly counts = { fromReserve: 0, granted: 0, refused: 0, ungranted: 0, secondWay: 0 };
  private readonly allowances = new Map<string, TenantAllowance>();
  private isRunning = false;
  /** Ends the wait for an answer, since another machine leads now. */
  private noteChange: () => void = () => undefined;
  /** Leader that was asked last, and the newest term of a reply. */
  private leader = '';
  private term = 0;
  /** Whether the next request names all that is held, since the leader may not know it. */
  private tellsAll = false;
  /** Smoothed time of an answer, in milliseconds. */
  private answerMs = FIRST_ANSWER_MS;
  /** When machines were told all that is held, where no answer came: they may count on it. */
  private readonly toldAt = new Map<string, number>();
  private gather: Timer | undefined;
  private sequence = 0;
  private isStopped = false;

  constructor(private readonly surroundings: AllowanceSurroundings) {}

  /** Stops. */
  stop(): void {
    this.isStopped = true;
    this.gather?.cancel();
  }

  /** Asks for one operation of a tenant; resolves after `patienceMs` at the latest. */
  take(tenant: Tenant, patienceMs: number): Promise<OperationVerdict> | OperationVerdict {
    const { limit } = tenant;
    if (!limit) return GRANTED;
    const now = this.surroundings.runtime.clock.now();
    const allowance = this.allowanceOf(tenant.name, now);
    allowance.note(limit, this.surroundings.rules, now);
    this.noteLeader();
    if (allowance.takeReserve(now)) {
      this.counts.fromReserve++;
      this.gatherReserves();
      return GRANTED;
    }
    const dryMs = allowance.dryFor(now);
    return dryMs > 0 ? this.refuse(allowance, dryMs) : this.wait(allowance, patienceMs);
  }

  /** Gives an operation back that was counted and did not run. */
  giveBack({ tenant, countedAt, hasRun }: AdmittedOperation): void {
    const now = this.surroundings.runtime.clock.now();
    const isLate = now - countedAt > GIVE_BACK_MS - GATHER_MS - WAITING_ALLOWANCE_MS / 2;
    if (!tenant.limit || hasRun || isLate) return;
    this.allowanceOf(tenant.name, now).giveBack();
    this.gatherReserves();
  }

  private allowanceOf(tenant: string, now: number): TenantAllowance {
    let allowance = this.allowances.get(tenant);
    if (!allowance) {
      allowance = new TenantAllowance(tenant, now);
      this.allowances.set(tenant, allowance);
    }
    return allowance;
  }

  private refuse(allowance: TenantAllowance, waitMs: number): OperationVerdict {
    const { clock, random } = this.surroundings.runtime;
    const now = clock.now();
    this.counts.refused++;
    const retryAfterMs = overLimitRetryMs(waitMs, random.next());
    if (now - allowance.toldDryAt >= DRY_LOG_SPACING_MS) {
      allowance.toldDryAt = now;
      const leader = this.surroundings.leaderAddress();
      this.surroundings.log(Events.tenantOverLimit, {
        tenant: allowance.tenant,
        leader,
        retry_after_ms: retryAfterMs,
      });
    }
    return { isGranted: false, cause: { kind: 'tenantOverLimit', retryAfterMs } };
  }

  private wait(allowance: TenantAllowance, patienceMs: number): Promise<OperationVerdict> {
    const { clock } = this.surroundings.runtime;
    return new Promise((resolve) => {
      const timer = clock.setTimer(patienceMs, () => {
        allowance.waiting.delete(operation);
        this.counts.ungranted++;
        resolve({ isGranted: false, cause: { kind: 'noGrant' } });
      });
      const operation = {
        settle: (verdict: OperationVerdict): void => {
          timer.cancel();
          if (verdict.isGranted) this.counts.granted++;
          resolve(verdict);
        },
      };
      allowance.waiting.add(operation);
      void this.run();
    });
  }

  private gatherReserves(): void {
    if (this.gather || this.isStopped) return;
    const { clock } = this.surroundings.runtime;
    this.gather = clock.setTimer(GATHER_MS, () => {
      this.gather = undefined;
      void this.run();
    });
  }

  /** Asks once, and on as long as something waits: one request after the other. */
  private async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    do {
      this.noteLeader();
      const changed = new Promise<boolean>((resolve) => {
        this.noteChange = () => resolve(true);
      });
      // An answer of a former leader is not waited for; what it grants still counts when it comes.
      const isAnswered = await Promise.race([this.askOnce(), changed]);
      if (!isAnswered) await delay(this.surroundings.runtime.clock, RETRY_PAUSE_MS);
    } while (!this.isStopped && this.isAnyWaiting());
    this.isRunning = false;
  }

  private isAnyWaiting(): boolean {
    return [...this.allowances.values()].some(({ waiting }) => waiting.size > 0);
  }

  /** A new leader adds to reserves only once it knows what each proxy holds, so it is told at once. */
  private noteLeader(): void {
    const leader = this.surroundings.leaderAddress();
    if (leader === '' || leader === this.leader) return;
    this.leader = leader;
    this.tellsAll = true;
    this.noteChange();
    void this.run();
  }

  /** Sends one request and takes over its answer; false when none came. */
  private async askOnce(): Promise<boolean> {
    const { clock } = this.surroundings.runtime;
    this.forgetUnused();
    if (this.surroundings.leaderAddress() === '') return !this.isAnyWaiting();
    const askedAt = clock.now();
    const complete = this.tellsAll;
    const asked = [...this.allowances.values()].filter(
      (allowance) =>
        allowance.waiting.size > 0 ||
        allowance.wantsReserve(askedAt) ||
        (complete && allowance.holdsReserve(askedAt)),
    );
    if (asked.length === 0 && !complete) return true;
    const demands = asked.map((allowance) => ({
      tenant: allowance.tenant,
      ...allowance.ask(askedAt),
    }));
    const second = clock.setTimer(this.secondWayMs, () => void this.askSecondWay());
    try {
      return await this.exchange({ demands, complete }, askedAt);
    } finally {
      second.cancel();
    }
  }

  private get secondWayMs(): number {
    const [least, most] = SECOND_WAY_RANGE_MS;
    return Math.min(most, Math.max(least, this.answerMs * SECOND_WAY_FACTOR));
  }

  /** Asks once more for what callers wait for; what is granted twice is dropped. */
  private async askSecondWay(): Promise<void> {
    const waiting = [...this.allowances.values()].filter((allowance) => allowance.waiting.size > 0);
    if (waiting.length === 0 || this.isStopped) return;
    this.counts.secondWay++;
    const demands = waiting.map((allowance) => ({
      tenant: allowance.tenant,
      waiting: allowance.waiting.size,
    }));
    await this.exchange({ demands, waitingOnly: true }, this.surroundings.runtime.clock.now());
  }

  /** Sends a request to the leader; false when it gave no answer that counts. */
  private async exchange(content: whinyoke.IAllowanceRequest, askedAt: number): Promise<boolean> {
    const { runtime, proxy, incarnation, log } = this.surroundings;
    const address = this.leader;
    const allowanceRequest = { ...content, proxy, incarnation, sequence: ++this.sequence };
    const lane = content.waitingOnly ? 1 : 0;
    if (content.complete) this.toldAt.set(address, askedAt);
    try {
      const answer = await runtime.messenger.request(
        address,
        { allowanceRequest },
        WAITING_ALLOWANCE_MS,
        lane,
      );
      this.toldAt.delete(address);
      this.answerMs += (runtime.clock.now() - askedAt - this.answerMs) * ANSWER_WEIGHT;
      const reply = answer.allowanceReply;
      // A former leader that answers late knows less than the one that answered already.
      if (!reply?.accepted || (reply.term ?? 0) < this.term) return false;
      this.term = reply.term ?? 0;
      this.tellsAll = reply.needsAll ?? false;
      this.adopt(reply, askedAt, content.waitingOnly ?? false);
      // A leader that does not know a tenant yet says nothing of it, and is asked again after a pause.
      return (reply.allowances ?? []).length === (content.demands ?? []).length;
    } catch (error) {
      log(Events.controlRequestFailed, { address, reason: messageOf(error) });
      return false;
    }
  }

  private adopt(reply: whinyoke.IAllowanceReply, askedAt: number, isWaitingOnly: boolean): void {
    const now = this.surroundings.runtime.clock.now();
    // What was granted to waiting requests may not be used any more; the reserves hold on.
    const isLate = now - askedAt > WAITING_ALLOWANCE_MS;
    const mayAdd = !this.isToldElsewhere(now);
    for (const { tenant, granted, added, retryAfterMs } of reply.allowances ?? []) {
      const allowance = this.allowances.get(tenant ?? '');
      if (!allowance) continue;
      const waitMs = retryAfterMs ?? 0;
      allowance.settle(isLate ? 0 : (granted ?? 0));
      if (!isWaitingOnly) allowance.addReserve(mayAdd ? (added ?? 0) : 0, askedAt, now);
      if (waitMs === 0) continue;
      allowance.noteDry(now + waitMs);
      this.refuseWaiting(allowance, waitMs);
    }
  }

  /** Whether another machine may have become the leader, and count on what this proxy told it to hold. */
  private isToldElsewhere(now: number): boolean {
    const oldest = now - RESERVE_LIFE_MS - LEADER_OVERLAP_MS;
    return [...this.toldAt.values()].some((toldAt) => toldAt > oldest);
  }

  private refuseWaiting(allowance: TenantAllowance, waitMs: number): void {
    for (const operation of allowance.waiting) {
      allowance.waiting.delete(operation);
      operation.settle(this.refuse(allowance, waitMs));
    }
  }

  private forgetUnused(): void {
    const now = this.surroundings.runtime.clock.now();
    for (const [tenant, { usedAt }] of this.allowances) {
      if (now - usedAt >= KEPT_MS) this.allowances.delete(tenant);
    }
  }
}
