/**
 * Builds the replies to requests that are refused or whose outcome is unknown, and logs refusals and retries. The causes and
 * their texts are in refusal_cause.ts, the retry delay sent to callers in retry_after.ts.
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
  /** Tenant of the request; omitted if there is none or its credential is unknown. */
  readonly tenant?: string;
}

/** Upper bound of the logged document age, which is infinite for a document that control has never confirmed. */
const MAX_LOGGED_AGE_MS = 1_000_000;

function isPrimaryChanging(context: ProxyContext, group: string): boolean {
  return context.leases.entryOf(group)?.phase === whinyoke.GroupPhase.CHANGING;
}

/** How long a change of the group's primary has been in progress; undefined if there is none. */
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

/** Reply to a request that did not run, with the delay after which the caller should retry. */
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

/** Reply to a request whose credential is unknown, or can't be verified at the moment. */
export function refuseCredential(
  context: ProxyContext,
  request: RefusedRequest,
  outcome: 'unknown' | 'unproven',
): CallerReply {
  if (outcome === 'unproven') {
    return refuse(context, request, 'busy', { kind: 'credentialUnproven' });
  }
  // Retrying with the same credential can't succeed, so the reply names no retry delay.
  const cause = { kind: 'credentialUnknown' as const };
  logRefusal(context, request, 'unauthenticated', cause);
  return errorReply('unauthenticated', causeText(cause), request.state);
}

/** Counts and logs a failed attempt after which the request may be retried. */
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

/** Reply to a request whose outcome is unknown. */
export function replyInDoubt(
  context: ProxyContext,
  request: RefusedRequest,
  cause: RefusalCause,
): CallerReply {
  logRefusal(context, request, 'inDoubt', cause);
  return errorReply('inDoubt', causeText(cause), request.state);
}
