/**
 * Enforces the operation limits of tenants at a proxy. An operation is taken from the proxy's own reserve if there is one;
 * otherwise it is requested from the tenant's issuer, which is a proxy of the same zone that holds the zone's reserve, and
 * finally from the leader of the control service. If neither grants it within the caller's maximum wait, it is refused.
 */
import { Events } from '../../observability/events.js';
import type { AdmittedOperation } from './admitted_operation.js';
import { AllowanceRequests } from './allowance_requests.js';
import type {
  AllowanceClientDependencies,
  OperationCounts,
} from './allowance_client_dependencies.js';
import { IssuerRequests } from './issuer_requests.js';
import { IssuerService } from './issuer_service.js';
import { LimitRefusals } from './limit_refusals.js';
import { RETURN_BATCH_WINDOW_MS, isReturnable } from './operation_budget.js';
import type { Tenant } from './tenant.js';
import {
  type GrantResult,
  GRANTED,
  type TenantAllowance,
  type WaitingOperation,
} from './tenant_allowance.js';
import { TenantAllowances } from './tenant_allowances.js';

/** Enforces operation limits at one proxy. */
export class AllowanceClient {
  /** Operations since the start, by outcome. */
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
  /** Grants operations to other proxies of the zone. */
  readonly issuer: IssuerService;
  /** State of this proxy by tenant. */
  readonly allowances = new TenantAllowances();
  private readonly refusals: LimitRefusals;
  private readonly requests: AllowanceRequests;
  private readonly issuerRequests: IssuerRequests;

  constructor(private readonly dependencies: AllowanceClientDependencies) {
    const { allowances, counts } = this;
    this.refusals = new LimitRefusals(dependencies, counts);
    this.requests = new AllowanceRequests(dependencies, allowances, this.refusals, counts);
    this.issuer = new IssuerService(dependencies, allowances, counts, (withinMs) =>
      this.requests.scheduleRequest(withinMs),
    );
    this.issuerRequests = new IssuerRequests(
      dependencies,
      dependencies.issuers,
      this.refusals,
      counts,
      (allowance, operation) => this.requestFromLeader(allowance, operation),
    );
  }

  /** Reports all reserves to the leader if it has changed. Called periodically, because there may be no other requests. */
  reportToNewLeader(): void {
    this.requests.reportToNewLeader();
  }

  /** Returns all reserves to the leader before the proxy stops, so that the next issuers of the zone can get them. */
  returnReserves(): void {
    this.dependencies.issuers.stopIssuing();
    this.issuer.stopIssuing();
    const now = this.dependencies.runtime.clock.now();
    const withReserve = [...this.allowances.all].filter((allowance) => allowance.hasReserve(now));
    if (withReserve.length === 0) return;
    for (const allowance of withReserve) allowance.forgetDemand();
    this.dependencies.log(Events.issuerLeft, { tenants: withReserve.length });
    this.requests.scheduleRequest(RETURN_BATCH_WINDOW_MS);
  }

  stop(): void {
    this.requests.stop();
  }

  /** Requests one operation of a tenant; resolves after `maxWaitMs` at the latest. */
  acquire(tenant: Tenant, maxWaitMs: number): Promise<GrantResult> | GrantResult {
    const { limit } = tenant;
    if (!limit) return GRANTED;
    const now = this.dependencies.runtime.clock.now();
    const allowance = this.allowances.getOrCreate(tenant.name, now);
    const isIssuer = this.dependencies.issuers.isOwnProxyIssuer(tenant.name);
    allowance.recordRequests(limit, this.dependencies.rules, now, { count: 1, isIssuer });
    this.requests.reportToNewLeader();
    if (allowance.takeFromReserve(now)) {
      this.counts.fromReserve++;
      this.requests.scheduleRequest(allowance.batchWindowMs(now));
      return GRANTED;
    }
    const exhaustedMs = allowance.exhaustedForMs(now);
    if (exhaustedMs > 0) return this.refusals.refuse(allowance, exhaustedMs);
    return this.waitForGrant(allowance, maxWaitMs);
  }

  /** Returns an operation that was counted but did not run. */
  returnUnused({ tenant, countedAt, mayHaveRun }: AdmittedOperation): void {
    const now = this.dependencies.runtime.clock.now();
    if (!tenant.limit || mayHaveRun || !isReturnable(now - countedAt)) return;
    this.allowances.getOrCreate(tenant.name, now).recordUnused(countedAt);
    this.requests.scheduleRequest(RETURN_BATCH_WINDOW_MS);
  }

  private waitForGrant(allowance: TenantAllowance, maxWaitMs: number): Promise<GrantResult> {
    const { clock } = this.dependencies.runtime;
    return new Promise((resolve) => {
      const operation = {
        isOpen: true,
        settle: (verdict: GrantResult): void => {
          if (!operation.isOpen) return;
          operation.isOpen = false;
          allowance.waiting.delete(operation);
          timer.cancel();
          resolve(verdict);
        },
      };
      const timer = clock.setTimer(maxWaitMs, () => {
        this.counts.ungranted++;
        operation.settle({ isGranted: false, cause: { kind: 'noGrant' } });
      });
      const issuer = this.dependencies.issuers.findOtherIssuer(allowance.tenant, clock.now());
      if (issuer === undefined) this.requestFromLeader(allowance, operation);
      else this.issuerRequests.enqueue(issuer, { allowance, operation });
    });
  }

  private requestFromLeader(allowance: TenantAllowance, operation: WaitingOperation): void {
    allowance.waiting.add(operation);
    void this.requests.requestWhileWaiting();
  }
}
