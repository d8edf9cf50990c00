/** Waiting for a trusted primary; how long is decided in routing/request_deadline.ts. */
import { delay } from '../../runtime/runtime.js';
import { changeAge } from '../routing/refusal.js';
import type { RequestDeadline } from '../routing/request_deadline.js';
import type { ProxyContext } from '../proxy/proxy_context.js';
import { type Target, primaryTarget } from '../routing/target_planner.js';

/** The trusted primary, or undefined when it is not worth waiting longer for one. */
export async function awaitPrimary(
  context: ProxyContext,
  deadline: RequestDeadline,
): Promise<Target | undefined> {
  const { group } = deadline.route;
  for (;;) {
    const target = primaryTarget(context, group);
    context.notePrimaryWanted(group);
    if (target) return target;
    const waitMs = deadline.primaryWait(changeAge(context, group));
    if (waitMs <= 0) return undefined;
    await Promise.race([context.trust.nextExtension(), delay(context.clock, waitMs)]);
  }
}
