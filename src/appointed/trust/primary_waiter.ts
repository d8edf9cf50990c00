/** Waiting for a trusted primary. */
import { whinyoke } from '../../protocol/generated/messages.js';
import { delay } from '../../runtime/runtime.js';
import { USUAL_CHANGE_MS } from '../routing/refusal.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { type Target, primaryTarget } from '../routing/target_planner.js';

/** How long a request may wait for a primary, in milliseconds from now. */
function patience(context: ProxyContext, deadline: RequestDeadline): number {
  const { group } = deadline.route;
  const entry = context.leases.entryOf(group);
  if (entry?.phase !== whinyoke.GroupPhase.CHANGING) return deadline.trustRemaining;
  const age = context.leases.phaseAge(group, context.clock.now());
  const isSoonOver = USUAL_CHANGE_MS - age < deadline.retryRemaining;
  return isSoonOver ? deadline.retryRemaining : deadline.offerRemaining;
}

/** The trusted primary, or undefined when it is not worth waiting longer for one. */
export async function awaitPrimary(
  context: ProxyContext,
  deadline: RequestDeadline,
): Promise<Target | undefined> {
  for (;;) {
    const target = primaryTarget(context, deadline.route.group);
    context.leaseConfirmer.noteWanted(deadline.route.group);
    if (target) return target;
    const waitMs = patience(context, deadline);
    if (waitMs <= 0) return undefined;
    await Promise.race([context.leases.nextExtension(), delay(context.clock, waitMs)]);
  }
}
