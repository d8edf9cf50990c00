/**
 * Bytes and number of internal messages of one process by kind, so that an operator sees what the network carries. Owns the
 * counts; relies on nothing that may fail.
 */
import type { MessageBody } from './runtime.js';

/** Which way a message went. */
export type MessageDirection = 'sent' | 'received';

/** Messages of one kind that went one way since the start. */
export interface TrafficCount {
  readonly kind: string;
  readonly direction: MessageDirection;
  readonly messages: number;
  /** With their frames. */
  readonly bytes: number;
}

/** Counts that go on. */
interface RunningCount {
  messages: number;
  bytes: number;
}

/** Traffic of one process. */
export class MessageTraffic {
  private readonly counts: Readonly<Record<MessageDirection, Map<string, RunningCount>>> = {
    sent: new Map(),
    received: new Map(),
  };

  /** Counts a message of so many bytes. */
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

  /** Counts since the start. */
  get all(): readonly TrafficCount[] {
    return (['sent', 'received'] as const).flatMap((direction) =>
      [...this.counts[direction]].map(([kind, count]) => ({ kind, direction, ...count })),
    );
  }
}

/** Name of the field that a body holds. */
function kindOf(body: MessageBody): string {
  for (const [name, value] of Object.entries(body)) {
    if (value !== undefined && value !== null) return name;
  }
  return 'empty';
}
