/**
 * Grants operations from this proxy's reserves to other proxies of its zone. It replies immediately and never contacts the
 * leader on behalf of a request: a proxy that gets too few operations requests the rest from the leader itself, so an
 * issuer that is partitioned from the leader delays no caller. If the leader does not renew the reserves, they expire and
 * nothing is granted.
 *
 * The requesting proxy drops replies that arrive later than GRANT_VALIDITY_MS after its request, so a reply that was
 * delayed by a stalled process cannot exceed the limit.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import type { TenantAllowances } from './tenant_allowances.js';

/** Bounds the value that a decoded request may contain. */
const MAX_WAITING_COUNT = 10_000;

const REFUSED: whinyoke.IAllowanceReply = { accepted: false };

/** Issuer service of one proxy. */
export class IssuerService {
  private hasStoppedIssuing = false;

  constructor(
    private readonly dependencies: Pick<
      AllowanceClientDependencies,
      'runtime' | 'rules' | 'limitOf'
    >,
    private readonly allowances: TenantAllowances,
    private readonly counts: OperationCounts,
    /** Schedules a request to the leader that refills low reserves. */
    private readonly scheduleRequest: (withinMs: number) => void,
  ) {}

  /** Refuses all requests from now on, so that other proxies become the issuers. */
  stopIssuing(): void {
    this.hasStoppedIssuing = true;
  }

  /** Answers a request of another proxy of the zone. */
  answer(request: whinyoke.IAllowanceRequest): whinyoke.IAllowanceReply {
    if (this.hasStoppedIssuing) return REFUSED;
    const allowances = (request.demands ?? []).flatMap((demand) => this.issue(demand));
    return { accepted: true, allowances };
  }

  private issue({ tenant, waiting }: whinyoke.ITenantDemand): whinyoke.ITenantAllowance[] {
    const { runtime, rules, limitOf } = this.dependencies;
    const name = tenant ?? '';
    const limit = limitOf(name);
    // The requesting proxy has another version of the document; it falls back to the leader.
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
