/** Refusals told to callers, each with its cause and when to come back. */
import { Events } from '../../observability/events.js';
import { type CallerErrorKind, type CallerReply, refused } from '../sessions/caller_reply.js';
import type { TransactionState } from '../instance/instance_connection.js';
import type { RequestDeadline } from './request_deadline.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { Target } from './target_planner.js';
import { formatPosition } from '../../positions/position.js';
import { whinyoke } from '../../protocol/generated/messages.js';

/** A request that is answered with an error. */
export interface RefusedRequest {
  readonly id: string;
  readonly deadline: RequestDeadline;
  readonly state: TransactionState;
  /** Tenant that asked; left out where the request has none, or its credential is not known. */
  readonly tenant?: string;
}

/** Ages beyond this are told as this, in milliseconds: the document was never confirmed. */
const LONGEST_TOLD_AGE_MS = 1_000_000;
const SHORT_RETRY_MS = 50;
const NO_LEASE_RETRY_MS = 300;
/** Usual duration of a change of primary, in milliseconds, for the time told to callers. */
export const USUAL_CHANGE_MS = 800;

/** When a caller should come back, in milliseconds. */
export function retryAfter(context: ProxyContext, group: string): number {
  const now = context.clock.now();
  const entry = context.leases.entryOf(group);
  if (entry?.phase === whinyoke.GroupPhase.CHANGING) {
    return Math.max(SHORT_RETRY_MS, USUAL_CHANGE_MS - context.leases.phaseAge(group, now));
  }
  return context.leases.primaryOf(group, now) ? SHORT_RETRY_MS : NO_LEASE_RETRY_MS;
}

function logRefusal(
  context: ProxyContext,
  request: RefusedRequest,
  kind: CallerErrorKind,
  cause: string,
): void {
  const { group, name } = request.deadline.route;
  const now = context.clock.now();
  const entry = context.leases.entryOf(group);
  const floorAt = context.positions.floorOf(group).newestSentAt;
  context.log(kind === 'inDoubt' ? Events.requestInDoubt : Events.requestRefused, {
    request: request.id,
    route: name,
    group,
    outcome: kind,
    cause,
    elapsed_ms: Math.round(request.deadline.elapsed),
    epoch: entry?.epoch ?? 0,
    phase: entry?.phase === whinyoke.GroupPhase.CHANGING ? 'changing' : 'steady',
    phase_age_ms: Math.round(context.leases.phaseAge(group, now)),
    leased: context.leases.primaryOf(group, now) !== undefined,
    floor_age_ms: floorAt === undefined ? -1 : Math.round(now - floorAt),
    document: context.table?.version ?? 0,
    document_age_ms: Math.round(Math.min(context.admission.documentAge, LONGEST_TOLD_AGE_MS)),
    tenant: request.tenant,
  });
}

/** Answer to a request that did not run; says when to come back. */
export function refuse(
  context: ProxyContext,
  request: RefusedRequest,
  kind: CallerErrorKind,
  cause: string,
): CallerReply {
  return refuseFor(
    context,
    request,
    kind,
    cause,
    retryAfter(context, request.deadline.route.group),
  );
}

/** The same, with the time to come back in milliseconds. */
export function refuseFor(
  context: ProxyContext,
  request: RefusedRequest,
  kind: CallerErrorKind,
  cause: string,
  retryAfterMs: number,
): CallerReply {
  logRefusal(context, request, kind, cause);
  const text = `${cause}; retry after ${Math.round(retryAfterMs)} ms`;
  return refused(kind, text, request.state);
}

/** Answer to a request whose credential does not allow it, or can't be checked now. */
export function refuseCredential(
  context: ProxyContext,
  request: RefusedRequest,
  outcome: 'unknown' | 'unproven',
): CallerReply {
  if (outcome === 'unproven') {
    const cause = 'whether the credential still holds is not known';
    return refuseFor(context, request, 'busy', cause, NO_LEASE_RETRY_MS);
  }
  const cause = 'no tenant holds the credential';
  logRefusal(context, request, 'unauthenticated', cause);
  return refused('unauthenticated', cause, request.state);
}

/** Notes an attempt after which the request may be tried again. */
export function noteRetry(
  context: ProxyContext,
  request: Pick<RefusedRequest, 'id' | 'deadline'>,
  target: Target,
  cause: string,
): void {
  const { route, elapsed } = request.deadline;
  context.counters.retried(route.name, cause);
  context.log(Events.requestRetried, {
    request: request.id,
    route: route.name,
    group: route.group,
    instance: target.instance,
    as_primary: target.primaryEpoch !== undefined,
    after: target.after ? formatPosition(target.after) : undefined,
    cause,
    elapsed_ms: Math.round(elapsed),
  });
}

/** Answer to a request whose outcome is unknown. */
export function inDoubt(
  context: ProxyContext,
  request: RefusedRequest,
  cause: string,
): CallerReply {
  logRefusal(context, request, 'inDoubt', cause);
  return refused('inDoubt', cause, request.state);
}
