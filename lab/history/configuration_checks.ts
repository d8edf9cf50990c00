/** Checks of accepted configurations over a history. */
import type { HistoryEvent } from './history.js';
import { type Violation, groupBy } from './violation.js';

/**
 * An accepted configuration is in force after this time, once no fault is under way, in milliseconds; bound of the
 * brief.
 */
const IN_FORCE_MS = 7000;

/** Revisions in force never go back, and what was accepted is kept. */
export function checkConfigurations(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const inForce = new Map<string, number>();
  for (const event of events) {
    if (event.type !== 'in_force') continue;
    const before = inForce.get(event.proxy) ?? 0;
    if (event.revision < before) {
      violations.push({
        check: 'configuration-order',
        message: `${event.proxy} went from revision ${before} back to ${event.revision}`,
      });
    }
    inForce.set(event.proxy, event.revision);
  }
  const final = events.findLast((event) => event.type === 'final_configuration');
  if (!final) return violations;
  return [...violations, ...checkKept(events, final.submissions, final)];
}

function checkKept(
  events: readonly HistoryEvent[],
  kept: readonly string[],
  final: Extract<HistoryEvent, { type: 'final_configuration' }>,
): Violation[] {
  const violations: Violation[] = [];
  const bySubmission = groupBy(
    events.filter((event) => event.type === 'submission'),
    (event) => event.submission,
  );
  for (const [submission, answers] of bySubmission) {
    const outcomes = new Set(answers.map((answer) => answer.outcome));
    const count = kept.filter((item) => item === submission).length;
    // One that was refused may be accepted when it is sent again.
    const isLost = outcomes.has('accepted') && count === 0;
    const isUntrue = !outcomes.has('accepted') && !outcomes.has('unknown') && count > 0;
    if (!isLost && !isUntrue && count < 2) continue;
    violations.push({
      check: 'configuration-kept',
      message: `submission ${submission} was ${[...outcomes].join(', ')} and is kept ${count} times`,
    });
  }
  for (const [proxy, revision] of final.inForce) {
    if (revision === final.revision) continue;
    violations.push({
      check: 'configuration-kept',
      message: `${proxy} has revision ${revision} in force, accepted is ${final.revision}`,
    });
  }
  return violations;
}

const FAULT_END_PREFIX = 'end: ';

/** Moment from which no fault was under way until `at`; undefined while one is. */
function calmSince(events: readonly HistoryEvent[], at: number): number | undefined {
  const active = new Set<string>();
  let since = 0;
  for (const event of events) {
    if (event.type !== 'fault' || event.at > at) continue;
    const { description } = event;
    if (!description.startsWith(FAULT_END_PREFIX)) {
      active.add(description);
      continue;
    }
    active.delete(description.slice(FAULT_END_PREFIX.length));
    since = event.at;
  }
  return active.size > 0 ? undefined : since;
}

/** An accepted configuration is in force on every proxy within seconds. */
export function checkConfigurationDelay(events: readonly HistoryEvent[]): Violation[] {
  const accepted = events.filter(
    (event) => event.type === 'submission' && event.outcome === 'accepted',
  );
  const inForce = groupBy(
    events.filter((event) => event.type === 'in_force'),
    (event) => event.proxy,
  );
  const violations: Violation[] = [];
  for (const submission of accepted) {
    if (submission.type !== 'submission') continue;
    for (const [proxy, changes] of inForce) {
      const first = changes.find(({ revision }) => revision >= submission.revision);
      if (!first || first.at - submission.at <= IN_FORCE_MS) continue;
      const calm = calmSince(events, first.at);
      const waited = first.at - Math.max(submission.at, calm ?? Infinity);
      if (waited <= IN_FORCE_MS) continue;
      violations.push({
        check: 'configuration-delay',
        message: `${proxy} had revision ${submission.revision} in force ${Math.round(waited)} ms late`,
      });
    }
  }
  return violations;
}
