/**
 * Answers that refuse a request, or tell that its outcome is unknown, and the log lines of refusals and retries.
 *
 * Owns: which event is logged, with which fields. The causes and their texts are in refusal_cause.ts, the time to come
 * back in retry_after.ts.
 * Relies on: the proxy's trust, positions and admission, for the fields of the lines; none of them can fail here.
 */
import { Events } from '../../observability/events.js';
import {
  type CallerErrorKind,
  type CallerReply,
  type NotRunErrorKind,
  errorReply,
  verdictOf,
} from '../sessions/caller_reply.js';
import type { TransactionState } from '../instance/instance_connection.js';
import type { RequestDeadline } from './request_deadline.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import type { Target } from './target_planner.js';
import { formatPosition } from '../../positions/position.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { type RefusalCause, type RetryCause, causeText } from './refusal_cause.js';
import { type PrimaryStatus, retryAfterMs } from './retry_after.js';

/** A request that is answered with an error. */
export interface RefusedRequest {
  readonly id: string;
  readonly deadline: RequestDeadline;
  readonly state: TransactionState;
  /** Tenant that asked; left out where the request has none, or its credential is not known. */
  readonly tenant?: string;
}

/** Age of the document that log lines tell at most, in milliseconds: it may never have been confirmed. */
const MAX_LOGGED_AGE_MS = 1_000_000;

function isPrimaryChanging(context: ProxyContext, group: string): boolean {
  return context.leases.entryOf(group)?.phase === whinyoke.GroupPhase.CHANGING;
}

/** How long a change of the group's primary has been under way, in milliseconds; undefined when there is none. */
export function primaryChangeAgeMs(context: ProxyContext, group: string): number | undefined {
  if (!isPrimaryChanging(context, group)) return undefined;
  return context.leases.phaseAgeMs(group, context.clock.now());
}

function primaryStatusOf(context: ProxyContext, group: string): PrimaryStatus {
  return {
    changeAgeMs: primaryChangeAgeMs(context, group),
    hasTrustedPrimary: context.leases.primaryOf(group, context.clock.now()) !== undefined,
  };
}

function logRefusal(
  context: ProxyContext,
  request: RefusedRequest,
  kind: CallerErrorKind,
  cause: RefusalCause,
): void {
  const { group, name } = request.deadline.route;
  const now = context.clock.now();
  const entry = context.leases.entryOf(group);
  const newestPositionSentAt = context.positions.minimumPositionOf(group).newestSentAt;
  const event = verdictOf(kind) === 'not_run' ? Events.requestRefused : Events.requestInDoubt;
  context.log(event, {
    request: request.id,
    route: name,
    group,
    outcome: kind,
    cause: causeText(cause),
    elapsed_ms: Math.round(request.deadline.elapsedMs),
    epoch: entry?.epoch ?? 0,
    phase: isPrimaryChanging(context, group) ? 'changing' : 'steady',
    phase_age_ms: Math.round(context.leases.phaseAgeMs(group, now)),
    leased: context.leases.primaryOf(group, now) !== undefined,
    floor_age_ms: newestPositionSentAt === undefined ? -1 : Math.round(now - newestPositionSentAt),
    document: context.table?.version ?? 0,
    document_age_ms: Math.round(Math.min(context.admission.documentAgeMs, MAX_LOGGED_AGE_MS)),
    tenant: request.tenant,
  });
}

/** Answer to a request that did not run; tells when to come back. */
export function refuse(
  context: ProxyContext,
  request: RefusedRequest,
  kind: NotRunErrorKind,
  cause: RefusalCause,
): CallerReply {
  logRefusal(context, request, kind, cause);
  if (cause.kind === 'outsideHomes')
    context.counters.refusedByAllowedRegions(request.deadline.route.name);
  const retryMs = retryAfterMs(cause, primaryStatusOf(context, request.deadline.route.group));
  const text = `${causeText(cause)}; retry after ${Math.round(retryMs)} ms`;
  return errorReply(kind, text, request.state);
}

/** Answer to a request whose credential does not allow it, or can't be checked now. */
export function refuseCredential(
  context: ProxyContext,
  request: RefusedRequest,
  outcome: 'unknown' | 'unproven',
): CallerReply {
  if (outcome === 'unproven') {
    return refuse(context, request, 'busy', { kind: 'credentialUnproven' });
  }
  // Coming back with the same credential makes no sense, so no time is told.
  const cause = { kind: 'credentialUnknown' as const };
  logRefusal(context, request, 'unauthenticated', cause);
  return errorReply('unauthenticated', causeText(cause), request.state);
}

/** Counts and logs an attempt that brought nothing, after which the request may be tried again. */
export function logRetry(
  context: ProxyContext,
  request: Pick<RefusedRequest, 'id' | 'deadline'>,
  target: Target,
  retryCause: RetryCause,
): void {
  const { route, elapsedMs } = request.deadline;
  const cause = causeText(retryCause);
  context.counters.retried(route.name, cause);
  context.log(Events.requestRetried, {
    request: request.id,
    route: route.name,
    group: route.group,
    instance: target.instance,
    as_primary: target.primaryEpoch !== undefined,
    after: target.minimumPosition ? formatPosition(target.minimumPosition) : undefined,
    cause,
    elapsed_ms: Math.round(elapsedMs),
  });
}

/** Answer to a request whose outcome is unknown. */
export function replyInDoubt(
  context: ProxyContext,
  request: RefusedRequest,
  cause: RefusalCause,
): CallerReply {
  logRefusal(context, request, 'inDoubt', cause);
  return errorReply('inDoubt', causeText(cause), request.state);
}
