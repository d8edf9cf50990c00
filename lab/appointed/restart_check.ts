/** Checks that proxies take a primary for one that has started again only if an instance of its group has. */
import { Events } from '../../src/observability/events.js';
import type { AppointedWorld } from './appointed_world.js';

/** Reports each group whose primary was distrusted for a restart although none of its instances started again. */
export function checkPrimaryRestarts({ lines, groups, judge }: AppointedWorld): void {
  const isDistrust = (event: string): boolean => event === Events.primaryStartedAgain.name;
  const distrusted = new Set(
    lines.filter(({ event }) => isDistrust(event)).map(({ fields }) => fields['group']),
  );
  for (const { name, hasRestarted } of groups) {
    if (distrusted.has(name) && !hasRestarted) judge.add('false-restart', name);
  }
}
