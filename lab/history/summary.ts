/** What callers saw in a recorded history, as text for a person. */
import { operationsOf } from './checker.js';
import type { HistoryEvent } from './history.js';
import type { Violation } from './violation.js';

/** Prints how many operations ended how, and each violation. */
export function printSummary(
  events: readonly HistoryEvent[],
  violations: readonly Violation[],
): void {
  const operations = operationsOf(events);
  const errors = operations.filter(({ error }) => error);
  const byVerdict = (verdict: string): number =>
    errors.filter(({ error }) => error?.verdict === verdict).length;
  const count = (...checks: string[]): number =>
    violations.filter((violation) => checks.includes(violation.check)).length;
  console.log(`operations:         ${operations.length}`);
  console.log(`errors not_run:     ${byVerdict('not_run')}`);
  console.log(`errors may_have_run: ${byVerdict('may_have_run')}`);
  console.log(`stale reads:        ${count('read-your-writes', 'monotonic-reads')}`);
  console.log(`double bookings:    ${count('register-order', 'no-mixed-transactions')}`);
  console.log(`double payments:    ${count('at-most-once')}`);
  console.log(`lost writes:        ${count('durable-writes')}`);
  for (const violation of violations)
    console.log(`VIOLATION ${violation.check}: ${violation.message}`);
}
