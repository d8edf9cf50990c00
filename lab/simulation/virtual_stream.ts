/**
 * Simulated byte-stream connections: messages of one direction stay in order, wait out a cut and arrive
 * late, and end with the process that sent them.
 */
import { CALLERS_HOST, type VirtualNetwork } from './virtual_network.js';
import type { VirtualProcess } from './virtual_process.js';

type Delivery = { readonly kind: 'message'; readonly message: unknown } | { readonly kind: 'end' };

/** One direction of a connection. */
class Channel {
  private readonly waiting: Delivery[] = [];
  private earliest = 0;
  private isMoving = false;
  private unsubscribe: (() => void) | undefined;
  private readonly generation: number;

  constructor(
    private readonly network: VirtualNetwork,
    private readonly from: string,
    private readonly to: string,
    private readonly deliver: (delivery: Delivery) => void,
  ) {
    this.generation = network.streamGeneration;
  }

  push(delivery: Delivery): void {
    if (this.isMute) return;
    this.waiting.push(delivery);
    if (!this.isMoving) this.moveAfter(this.network.delay(this.from, this.to));
  }

  private moveAfter(delayMs: number): void {
    const { scheduler } = this.network;
    this.isMoving = true;
    const at = Math.max(this.earliest, scheduler.now + delayMs);
    this.earliest = at;
    scheduler.schedule(at - scheduler.now, () => this.arrive());
  }

  /** Connections of callers are spared. */
  private get isMute(): boolean {
    const isOfCaller = this.from === CALLERS_HOST || this.to === CALLERS_HOST;
    return !isOfCaller && this.generation < this.network.streamGeneration;
  }

  private arrive(): void {
    if (this.isMute) {
      this.waiting.length = 0;
      this.isMoving = false;
      return;
    }
    if (this.network.isCut(this.from, this.to)) {
      this.waitForHeal();
      return;
    }
    const delivery = this.waiting.shift();
    if (delivery) this.deliver(delivery);
    this.isMoving = false;
    // What was sent meanwhile travels at the same time and arrives right behind.
    if (this.waiting.length > 0) this.moveAfter(0);
  }

  private waitForHeal(): void {
    if (this.unsubscribe) return;
    this.unsubscribe = this.network.onHeal(() => {
      if (this.network.isCut(this.from, this.to)) return;
      this.unsubscribe?.();
      this.unsubscribe = undefined;
      this.moveAfter(this.network.retransmitDelay());
    });
  }
}

/** One end of a connection. */
export class StreamEnd {
  /** Receives the other end's messages. */
  onMessage: (message: unknown) => void = () => undefined;
  /** Called once when the connection ended, by either side. */
  onClosed: () => void = () => undefined;
  private isOpen = true;
  private channel!: Channel;

  constructor(
    private readonly network: VirtualNetwork,
    private readonly process: VirtualProcess,
  ) {
    process.onEnd(() => this.endByProcess());
  }

  /** Whether this end was not closed and did not hear of the other's end. */
  get open(): boolean {
    return this.isOpen;
  }

  /** Joins two ends. */
  static join(network: VirtualNetwork, left: StreamEnd, right: StreamEnd): void {
    const between = (from: StreamEnd, to: StreamEnd): Channel =>
      new Channel(network, from.process.host, to.process.host, (item) => to.receive(item));
    left.channel = between(left, right);
    right.channel = between(right, left);
  }

  /** Sends a message; does nothing on a closed end. */
  send(message: unknown): void {
    if (this.isOpen) this.channel.push({ kind: 'message', message });
  }

  /** Ends the connection; messages sent before still arrive. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.channel.push({ kind: 'end' });
    this.onClosed();
  }

  /** The operating system ends connections of a process that died, unless the machine died with it. */
  private endByProcess(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.channel.push({ kind: 'end' });
  }

  private receive(delivery: Delivery): void {
    this.process.deliver(() => {
      if (!this.isOpen) return;
      if (delivery.kind === 'message') {
        this.onMessage(delivery.message);
        return;
      }
      this.isOpen = false;
      this.onClosed();
    });
  }
}
