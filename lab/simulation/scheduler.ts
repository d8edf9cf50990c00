/**
 * Discrete-event scheduler: virtual time jumps from event to event, so simulated minutes take seconds and
 * the same seed gives the same run.
 */

/** An event that can still be cancelled. */
export interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/**
 * Events run between two polls of the real event loop. Node runs all promise callbacks between two
 * immediates, so each event is settled before the next, and the polls, which cost most, are few.
 */
const EVENTS_PER_POLL = 64;

/** Virtual time and its events. */
export class Scheduler {
  /** Virtual milliseconds since the start. */
  now = 0;
  private readonly heap: ScheduledEvent[] = [];
  private nextOrder = 0;

  /** Calls `callback` once, `delayMs` virtual milliseconds from now. */
  schedule(delayMs: number, callback: () => void): ScheduledEvent {
    const at = this.now + Math.max(0, delayMs);
    const event: ScheduledEvent = { at, order: this.nextOrder++, callback };
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
    return event;
  }

  /** Cancels an event; does nothing when it has already run. */
  cancel(event: ScheduledEvent): void {
    event.callback = undefined;
  }

  /** Runs events until virtual time `until`. */
  runUntil(until: number): Promise<void> {
    return new Promise((resolve, reject) => {
      let isOver = false;
      const step = (): void => {
        if (isOver) return;
        try {
          isOver = !this.runNext(until);
        } catch (error) {
          isOver = true;
          reject(error instanceof Error ? error : new Error(String(error)));
          return;
        }
        if (!isOver) return;
        this.now = until;
        resolve();
      };
      const batch = (): void => {
        if (isOver) return;
        for (let index = 0; index < EVENTS_PER_POLL; index++) setImmediate(step);
        setImmediate(batch);
      };
      setImmediate(batch);
    });
  }

  /** Runs the next event; false when there is none until virtual time `until`. */
  private runNext(until: number): boolean {
    for (let next = this.heap[0]; next && next.at <= until; next = this.heap[0]) {
      this.removeFirst();
      const { callback } = next;
      if (!callback) continue;
      this.now = next.at;
      callback();
      return true;
    }
    return false;
  }

  private removeFirst(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this.heap[index]!, this.heap[parent]!)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let smallest = index;
      for (const child of [left, right]) {
        const event = this.heap[child];
        if (event && isBefore(event, this.heap[smallest]!)) smallest = child;
      }
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private swap(left: number, right: number): void {
    const event = this.heap[left]!;
    this.heap[left] = this.heap[right]!;
    this.heap[right] = event;
  }
}
