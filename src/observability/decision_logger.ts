/**
 * Rate-limited event log. Each kind of event may write a fixed number of lines per second, which keeps a burst of failures
 * from flooding the log. Suppressed lines are counted; the next event of that kind in a later interval logs the count.
 */
import type { Clock } from '../runtime/runtime.js';
import { type EventKind, Events } from './events.js';
import type { EventFields, EventLogger } from './logger.js';

const INTERVAL_MS = 1000;
/** Maximum number of lines per interval for one kind of event. */
const LINES_PER_INTERVAL = 20;

/** Logs an event, unless its kind has reached the rate limit. */
export type DecisionLog = (kind: EventKind, fields: EventFields) => void;

/** Lines of one kind of event in the current interval. */
interface Budget {
  intervalStart: number;
  used: number;
  leftOut: number;
}

/** Rate-limited logger of one process. */
export class DecisionLogger {
  private readonly budgets = new Map<number, Budget>();

  constructor(
    private readonly logger: Pick<EventLogger, 'event'>,
    private readonly clock: Clock,
  ) {}

  /** Logs an event, unless its kind has reached the rate limit. */
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
