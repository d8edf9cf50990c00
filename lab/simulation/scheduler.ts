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

/** Resolves when all promise callbacks that are ready now have run. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

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
  async runUntil(until: number): Promise<void> {
    await settled();
    for (let next = this.heap[0]; next && next.at <= until; next = this.heap[0]) {
      this.removeFirst();
      const { callback } = next;
      if (!callback) continue;
      this.now = next.at;
      callback();
      await settled();
    }
    this.now = until;
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
