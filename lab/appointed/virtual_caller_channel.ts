/** The proxy's sending side of a simulated caller's connection, with a buffer that a process loses when it ends. */
import type { TransactionState } from '../../src/appointed/instance/instance_connection.js';
import type { CallerChannel } from '../../src/appointed/sessions/caller_channel.js';
import type { CallerErrorKind, CallerReply } from '../../src/appointed/sessions/caller_reply.js';
import type { VirtualProcess } from '../simulation/virtual_process.js';
import type { StreamEnd } from '../simulation/virtual_stream.js';

/** A message of a proxy to a caller; `end` closes the sending direction. */
export type ProxyMessage =
  | { readonly kind: 'ready'; readonly state: TransactionState }
  | { readonly kind: 'error'; readonly errorKind: CallerErrorKind; readonly text: string }
  | { readonly kind: 'reply'; readonly reply: CallerReply }
  | { readonly kind: 'end' };

interface Unsent {
  readonly message: ProxyMessage;
  readonly onDelivered: () => void;
}

/** Share of the messages that wait for a caller which reads slowly, and their longest wait, in milliseconds. */
const SLOW_READ_SHARE = 0.02;
const SLOW_READ_MS = 60;
/** Time for the caller to close its direction; then the connection is destroyed. */
const LINGER_MS = 2000;

/** Sends through one end of a stream. */
export class VirtualCallerChannel implements CallerChannel {
  /** Number of messages that were read and have no answer; an error beyond them announces a close. */
  unanswered = 0;
  private readonly unsent: Unsent[] = [];
  private isEnded = false;

  constructor(
    private readonly stream: StreamEnd,
    private readonly process: VirtualProcess,
    /** Whether a close is announced to the caller, or only the sending direction is closed. */
    private readonly announcesClose: boolean,
  ) {}

  sendReady(state: TransactionState): void {
    this.unanswered--;
    this.push({ kind: 'ready', state });
  }

  sendError(errorKind: CallerErrorKind, text: string): void {
    if (this.unanswered === 0 && !this.announcesClose) this.end();
    else this.push({ kind: 'error', errorKind, text });
  }

  sendReply(reply: CallerReply, onDelivered: () => void): void {
    this.unanswered--;
    this.push({ kind: 'reply', reply }, onDelivered);
  }

  end(): void {
    if (this.isEnded) return;
    this.push({ kind: 'end' });
    this.isEnded = true;
    this.process.clock.setTimer(LINGER_MS, () => this.destroy());
  }

  destroy(): void {
    this.unsent.length = 0;
    this.stream.close();
  }

  private push(message: ProxyMessage, onDelivered: () => void = () => undefined): void {
    if (this.isEnded) return;
    const { random, clock } = this.process;
    const isWaiting = this.unsent.length > 0;
    // The close needs no room at the receiver.
    const hasRoom = message.kind === 'end' || random.next() >= SLOW_READ_SHARE;
    if (!isWaiting && hasRoom) {
      this.stream.send(message);
      clock.setTimer(0, onDelivered);
      return;
    }
    this.unsent.push({ message, onDelivered });
    if (!isWaiting) clock.setTimer(SLOW_READ_MS * random.next(), () => this.flush());
  }

  /** Sends all that waits: what follows a message in the buffer, the close included, needs no wait of its own. */
  private flush(): void {
    const sent = this.unsent.splice(0);
    for (const { message } of sent) this.stream.send(message);
    for (const { onDelivered } of sent) onDelivered();
  }
}
