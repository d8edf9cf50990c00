/**
 * A proxy's side of the limit on operations: takes operations out of its reserves; has the issuer of its zone asked where it has
 * none, and the leading control machine where that has none either. Owns the counts; relies on both, which may not answer:
 * callers then wait for a part of their objective and are refused.
 */
import { Events } from '../../observability/events.js';
import type { AdmittedOperation } from './admitted_operation.js';
import { AllowanceRequests } from './allowance_requests.js';
import type { AllowanceSurroundings, OperationCounts } from './allowance_surroundings.js';
import { IssuerRequests } from './issuer_requests.js';
import { IssuerService } from './issuer_service.js';
import { LimitRefusals } from './limit_refusals.js';
import { GATHER_RETURNED_MS, isReturnable } from './operation_budget.js';
import type { Tenant } from './tenant.js';
import {
  type OperationVerdict,
  GRANTED,
  type TenantAllowance,
  type WaitingOperation,
} from './tenant_allowance.js';
import { TenantAllowances } from './tenant_allowances.js';

/** Client of one proxy. */
export class AllowanceClient {
  /** How operations were counted, since the start. */
  readonly counts: OperationCounts = {
    fromReserve: 0,
    byIssuer: 0,
    granted: 0,
    refused: 0,
    ungranted: 0,
    secondWay: 0,
    issuerLate: 0,
    issued: 0,
  };
  /** Answers other proxies of the zone. */
  readonly issuer: IssuerService;
  /** What this proxy may run, by tenant. */
  readonly allowances = new TenantAllowances();
  private readonly refusals: LimitRefusals;
  private readonly requests: AllowanceRequests;
  private readonly issuerRequests: IssuerRequests;

  constructor(private readonly surroundings: AllowanceSurroundings) {
    const { allowances, counts } = this;
    this.refusals = new LimitRefusals(surroundings, counts);
    this.requests = new AllowanceRequests(surroundings, allowances, this.refusals, counts);
    this.issuer = new IssuerService(surroundings, allowances, counts, (withinMs) =>
      this.requests.askSoon(withinMs),
    );
    this.issuerRequests = new IssuerRequests(
      surroundings,
      surroundings.issuers,
      this.refusals,
      counts,
      (allowance, operation) => this.askLeader(allowance, operation),
    );
  }

  /** Tells a new leader at once what this proxy holds; called now and then, since it may have no requests to ask for. */
  noteLeader(): void {
    this.requests.noteLeader();
  }

  /** This proxy is to stop: hands the reserves of its zone over, by way of the leader, to those that come after it. */
  leave(): void {
    this.surroundings.issuers.leave();
    this.issuer.leave();
    const now = this.surroundings.runtime.clock.now();
    const held = [...this.allowances.all].filter((allowance) => allowance.holdsReserve(now));
    if (held.length === 0) return;
    for (const allowance of held) allowance.forgetDemand();
    this.surroundings.log(Events.issuerLeft, { tenants: held.length });
    this.requests.askSoon(GATHER_RETURNED_MS);
  }

  /** Stops. */
  stop(): void {
    this.requests.stop();
  }

  /** Asks for one operation of a tenant; resolves after `longestWaitMs` at the latest. */
  take(tenant: Tenant, longestWaitMs: number): Promise<OperationVerdict> | OperationVerdict {
    const { limit } = tenant;
    if (!limit) return GRANTED;
    const now = this.surroundings.runtime.clock.now();
    const allowance = this.allowances.of(tenant.name, now);
    const isIssuer = this.surroundings.issuers.isOwn(tenant.name);
    allowance.note(limit, this.surroundings.rules, now, { count: 1, isIssuer });
    this.requests.noteLeader();
    if (allowance.takeReserve(now)) {
      this.counts.fromReserve++;
      this.requests.askSoon(allowance.gatherMs(now));
      return GRANTED;
    }
    const exhaustedMs = allowance.exhaustedFor(now);
    if (exhaustedMs > 0) return this.refusals.refuse(allowance, exhaustedMs);
    return this.waitForGrant(allowance, longestWaitMs);
  }

  /** Gives an operation back that was counted and did not run. */
  giveBack({ tenant, countedAt, hasRun }: AdmittedOperation): void {
    const now = this.surroundings.runtime.clock.now();
    if (!tenant.limit || hasRun || !isReturnable(now - countedAt)) return;
    this.allowances.of(tenant.name, now).giveBack(countedAt);
    this.requests.askSoon(GATHER_RETURNED_MS);
  }

  private waitForGrant(
    allowance: TenantAllowance,
    longestWaitMs: number,
  ): Promise<OperationVerdict> {
    const { clock } = this.surroundings.runtime;
    return new Promise((resolve) => {
      const operation = {
        isOpen: true,
        settle: (verdict: OperationVerdict): void => {
          if (!operation.isOpen) return;
          operation.isOpen = false;
          allowance.waiting.delete(operation);
          timer.cancel();
          resolve(verdict);
        },
      };
      const timer = clock.setTimer(longestWaitMs, () => {
        this.counts.ungranted++;
        operation.settle({ isGranted: false, cause: { kind: 'noGrant' } });
      });
      const issuer = this.surroundings.issuers.other(allowance.tenant, clock.now());
      if (issuer === undefined) this.askLeader(allowance, operation);
      else this.issuerRequests.add(issuer, { allowance, operation });
    });
  }

  private askLeader(allowance: TenantAllowance, operation: WaitingOperation): void {
    allowance.waiting.add(operation);
    void this.requests.run();
  }
}
