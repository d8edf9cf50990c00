/** Counts the internal messages that one process sends and receives, and their bytes, by kind of message. */
import type { MessageBody } from './runtime.js';

export type MessageDirection = 'sent' | 'received';

/** Messages of one kind in one direction since the start of the process. */
export interface TrafficCount {
  readonly kind: string;
  readonly direction: MessageDirection;
  readonly messages: number;
  /** Including the frame headers. */
  readonly bytes: number;
}

interface RunningCount {
  messages: number;
  bytes: number;
}

/** Message counts of one process. */
export class MessageTraffic {
  private readonly counts: Readonly<Record<MessageDirection, Map<string, RunningCount>>> = {
    sent: new Map(),
    received: new Map(),
  };

  /** Counts one message of `bytes` bytes, frame header included. */
  note(direction: MessageDirection, body: MessageBody, bytes: number): void {
    const ofDirection = this.counts[direction];
    const kind = kindOf(body);
    let count = ofDirection.get(kind);
    if (!count) {
      count = { messages: 0, bytes: 0 };
      ofDirection.set(kind, count);
    }
    count.messages++;
    count.bytes += bytes;
  }

  /** Counts since the start of the process. */
  get all(): readonly TrafficCount[] {
    return (['sent', 'received'] as const).flatMap((direction) =>
      [...this.counts[direction]].map(([kind, count]) => ({ kind, direction, ...count })),
    );
  }
}

/** Name of the field that is set in a body; `empty` if none is. */
function kindOf(body: MessageBody): string {
  for (const [name, value] of Object.entries(body)) {
    if (value !== undefined && value !== null) return name;
  }
  return 'empty';
}
