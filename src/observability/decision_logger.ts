/**
 * Log of decisions with a bounded volume: each kind of event has a budget of lines a second; what is left
 * out is counted, and logged once the budget is there again. Owns the budgets; relies on nothing that may fail.
 */
import type { Clock } from '../runtime/runtime.js';
import { type EventKind, Events } from './events.js';
import type { EventFields, EventLogger } from './logger.js';

/** Length of an interval, in milliseconds. */
const INTERVAL_MS = 1000;
/** Lines of one kind of event in an interval: more can't be read. Guess, not measured. */
const LINES_PER_INTERVAL = 20;

/** Writes one line for a decision; the line is left out while the budget of its kind is spent. */
export type DecisionLog = (kind: EventKind, fields: EventFields) => void;

/** Lines of one kind of event in the present interval. */
interface Budget {
  intervalStart: number;
  used: number;
  leftOut: number;
}

/** Logger of one process. */
export class DecisionLogger {
  private readonly budgets = new Map<number, Budget>();

  constructor(
    private readonly logger: Pick<EventLogger, 'event'>,
    private readonly clock: Clock,
  ) {}

  /** Writes one line for a decision, unless the budget of its kind is spent. */
  readonly log: DecisionLog = (kind, fields) => {
    const budget = this.budgetOf(kind);
    if (budget.used >= LINES_PER_INTERVAL) {
      budget.leftOut++;
      return;
    }
    budget.used++;
    this.logger.event(kind, { at_ms: Math.round(this.clock.now()), ...fields });
  };

  private budgetOf(kind: EventKind): Budget {
    const now = this.clock.now();
    let budget = this.budgets.get(kind.number);
    if (!budget) {
      budget = { intervalStart: now, used: 0, leftOut: 0 };
      this.budgets.set(kind.number, budget);
    }
    if (now - budget.intervalStart < INTERVAL_MS) return budget;
    const { leftOut } = budget;
    budget.intervalStart = now;
    budget.used = 0;
    budget.leftOut = 0;
    if (leftOut > 0) {
      this.logger.event(Events.linesLeftOut, { of_event: kind.number, left_out: leftOut });
    }
    return budget;
  }
}
