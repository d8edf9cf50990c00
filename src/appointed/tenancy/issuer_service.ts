/**
 * An issuer's side: answers other proxies of its zone out of the reserves that this proxy holds. Owns whether this proxy is leaving;
 * relies on the leader to fill the reserves, which may not answer: then they end, and nothing is granted.
 *
 * It answers at once and never asks the leader on behalf of another proxy: who gets too little asks the leader itself, so an
 * issuer that is cut off from it delays nobody. An answer counts for the asker only within WAITING_ALLOWANCE_MS after it asked,
 * so that one written before a freeze counts for nothing after it.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import type { TenantAllowances } from './tenant_allowances.js';

/** Most operations of one tenant that one request may ask for (a count): a check of what is decoded. Guess, not measured. */
const MAX_WAITING_COUNT = 10_000;

const REFUSED: whinyoke.IAllowanceReply = { accepted: false };

/** Service of one proxy. */
export class IssuerService {
  private hasStoppedIssuing = false;

  constructor(
    private readonly dependencies: Pick<
      AllowanceClientDependencies,
      'runtime' | 'rules' | 'limitOf'
    >,
    private readonly allowances: TenantAllowances,
    private readonly counts: OperationCounts,
    /** Asks the leader soon for the reserves that are low. */
    private readonly scheduleRequest: (withinMs: number) => void,
  ) {}

  /** Refuses from now on, so that others become the issuers. */
  stopIssuing(): void {
    this.hasStoppedIssuing = true;
  }

  /** Answers another proxy of the zone. */
  answer(request: whinyoke.IAllowanceRequest): whinyoke.IAllowanceReply {
    if (this.hasStoppedIssuing) return REFUSED;
    const allowances = (request.demands ?? []).flatMap((demand) => this.issue(demand));
    return { accepted: true, allowances };
  }

  private issue({ tenant, waiting }: whinyoke.ITenantDemand): whinyoke.ITenantAllowance[] {
    const { runtime, rules, limitOf } = this.dependencies;
    const name = tenant ?? '';
    const limit = limitOf(name);
    // The asker's document is newer or older: the leader decides.
    if (!limit) return [];
    const now = runtime.clock.now();
    const count = Math.min(waiting ?? 0, MAX_WAITING_COUNT);
    const allowance = this.allowances.getOrCreate(name, now);
    allowance.recordRequests(limit, rules, now, { count, isIssuer: true });
    let granted = 0;
    while (granted < count && allowance.takeFromReserve(now)) granted++;
    this.counts.issued += granted;
    this.scheduleRequest(allowance.batchWindowMs(now));
    const retryAfterMs = granted < count ? Math.ceil(allowance.exhaustedForMs(now)) : 0;
    return [{ tenant: name, granted, retryAfterMs }];
  }
}
