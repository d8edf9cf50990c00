/**
 * Waits for a primary under a lease. Owns nothing; relies on control or replicas to extend the lease, which may not happen:
 * the wait then ends by the request's deadline.
 *
 * Load that it answers: requests that arrive while a group changes its primary, or while this proxy has no lease.
 * Inputs: phase of the group and how long it has been known (ms), the remaining times of the request (ms).
 * Rule: without a lease a request waits for as long as its deadline allows for leases. In a change of primary it waits on, if
 * the change should be over in time for another try, and otherwise for as long as a caller may be made an offer.
 * Constants: `USUAL_CHANGE_MS` (refusal.ts), and the fractions of the objective in request_deadline.ts.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import { delay } from '../../runtime/runtime.js';
import { USUAL_CHANGE_MS } from '../routing/refusal.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { type Target, primaryTarget } from '../routing/target_planner.js';

/** How long a request may wait for a primary, in milliseconds from now. */
function longestWait(context: ProxyContext, deadline: RequestDeadline): number {
  const { group } = deadline.route;
  const entry = context.leases.entryOf(group);
  if (entry?.phase !== whinyoke.GroupPhase.CHANGING) return deadline.trustRemaining;
  const age = context.leases.phaseAge(group, context.clock.now());
  const isSoonOver = USUAL_CHANGE_MS - age < deadline.retryRemaining;
  return isSoonOver ? deadline.retryRemaining : deadline.offerRemaining;
}

/** The leased primary; undefined when the request may not wait longer for one. */
export async function awaitPrimary(
  context: ProxyContext,
  deadline: RequestDeadline,
): Promise<Target | undefined> {
  for (;;) {
    const target = primaryTarget(context, deadline.route.group);
    context.leaseConfirmer.noteWanted(deadline.route.group);
    if (target) return target;
    const waitMs = longestWait(context, deadline);
    if (waitMs <= 0) return undefined;
    await Promise.race([context.leases.nextExtension(), delay(context.clock, waitMs)]);
  }
}
