/**
 * Requests to gateways. A statement may take long, so its own timeout says little about the gateway: while
 * requests are under way each gateway is asked now and then whether it is alive, and all requests to one
 * that does not answer fail at once.
 */
import { PeerUnreachableError } from '../../errors/errors.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, type Messenger, type Timer, delay } from '../../runtime/runtime.js';
import type { ForwardedSessionName } from './forward_codec.js';

/** Timing, in milliseconds. */
export interface GatewayClientOptions {
  /** Longest time for one answer. */
  readonly answerTimeoutMs: number;
  /** Pause between two checks of a gateway that has requests under way. */
  readonly checkIntervalMs: number;
  /** Time after which an unanswered check means that the gateway is unreachable. */
  readonly checkTimeoutMs: number;
}

/** Defaults for networks with round trips of a few milliseconds. */
const DEFAULT_GATEWAY_CLIENT_OPTIONS: GatewayClientOptions = {
  answerTimeoutMs: 15_000,
  checkIntervalMs: 200,
  checkTimeoutMs: 400,
};

const STOPPED = 'this proxy is stopping';
const CLOSE_RETRY_MS = 300;
/** Afterwards the gateway has closed the silent session by itself. */
const MAXIMUM_CLOSE_ATTEMPTS = 60;

type Failure = (error: Error) => void;

interface WatchedGateway {
  readonly underWay: Set<Failure>;
  timer: Timer | undefined;
}

/** Client of all gateways. */
export class GatewayClient {
  private readonly gateways = new Map<string, WatchedGateway>();
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly messenger: Messenger,
    private readonly options: GatewayClientOptions = DEFAULT_GATEWAY_CLIENT_OPTIONS,
  ) {}

  /**
   * Sends a request to a gateway.
   * @throws PeerUnreachableError when the gateway is unreachable; the request may have reached it
   */
  async send(
    address: string,
    forwardRequest: whinyoke.IForwardRequest,
  ): Promise<whinyoke.IForwardReply> {
    if (this.stopped) throw new PeerUnreachableError(STOPPED, { sent: false });
    const gateway = this.watch(address);
    let failure: Failure = () => undefined;
    const unreachable = new Promise<never>((_resolve, reject) => {
      failure = reject;
      gateway.underWay.add(failure);
    });
    try {
      const answer = this.messenger.request(
        address,
        { forwardRequest },
        this.options.answerTimeoutMs,
      );
      const body = await Promise.race([answer, unreachable]);
      return body.forwardReply ?? { accepted: false, finished: true };
    } finally {
      this.unwatch(address, failure);
    }
  }

  /** Whether no more requests are sent. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Fails all requests under way and sends no more; sessions can still be closed. */
  stop(): void {
    this.stopped = true;
    for (const { underWay } of [...this.gateways.values()]) {
      for (const fail of [...underWay]) fail(new PeerUnreachableError(STOPPED));
    }
  }

  /**
   * Tells a gateway that a session is over, again and again until it confirms: a transaction that nobody
   * ends holds its locks.
   */
  async closeSession(address: string, session: ForwardedSessionName, group: string): Promise<void> {
    const forwardRequest = { kind: whinyoke.ForwardKind.CLOSE, group, ...session };
    for (let attempt = 0; attempt < MAXIMUM_CLOSE_ATTEMPTS; attempt++) {
      try {
        const { checkTimeoutMs } = this.options;
        await this.messenger.request(address, { forwardRequest }, checkTimeoutMs);
        return;
      } catch {
        // The gateway closes the sessions of a proxy that is gone.
        if (this.stopped) return;
        await delay(this.clock, CLOSE_RETRY_MS);
      }
    }
  }

  private watch(address: string): WatchedGateway {
    let gateway = this.gateways.get(address);
    if (!gateway) {
      gateway = { underWay: new Set(), timer: undefined };
      this.gateways.set(address, gateway);
      this.scheduleCheck(address, gateway);
    }
    return gateway;
  }

  private unwatch(address: string, failure: Failure): void {
    const gateway = this.gateways.get(address);
    if (!gateway) return;
    gateway.underWay.delete(failure);
    if (gateway.underWay.size > 0) return;
    gateway.timer?.cancel();
    this.gateways.delete(address);
  }

  private scheduleCheck(address: string, gateway: WatchedGateway): void {
    gateway.timer = this.clock.setTimer(
      this.options.checkIntervalMs,
      () => void this.check(address, gateway),
    );
  }

  private async check(address: string, gateway: WatchedGateway): Promise<void> {
    const forwardRequest = { kind: whinyoke.ForwardKind.CHECK };
    try {
      await this.messenger.request(address, { forwardRequest }, this.options.checkTimeoutMs);
    } catch {
      const error = new PeerUnreachableError(`gateway ${address} does not answer`);
      for (const fail of [...gateway.underWay]) fail(error);
    }
    if (this.gateways.get(address) === gateway) this.scheduleCheck(address, gateway);
  }
}
