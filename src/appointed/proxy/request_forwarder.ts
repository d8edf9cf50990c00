/**
 * Forwards synchronisation requests of other proxies to the leading control machine: a proxy may be cut off from it while
 * this one is not. Owns nothing; the leader, and the network to it, may fail, which fails the request.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { MessageBody, Messenger } from '../../runtime/runtime.js';

/**
 * Time for the leader to answer a forwarded request, in milliseconds. The leader does not hold it, so this is a trip and the
 * work on it. Guess, not measured.
 */
const FORWARD_TIMEOUT_MS = 400;

/** Forwarder of one proxy. */
export class RequestForwarder {
  constructor(
    private readonly messenger: Messenger,
    /** Address of the leader; empty while unknown. */
    private readonly leaderAddress: () => string,
  ) {}

  /** Answers a request: with the leader's answer, or a refusal. A request is forwarded once. */
  forward(request: whinyoke.ISyncRequest | null | undefined): Promise<MessageBody> | MessageBody {
    if (!request || request.relayed) return { refusal: { reason: 'not for a proxy' } };
    const address = this.leaderAddress();
    if (address === '') return { refusal: { reason: 'no leader is known' } };
    const forwarded = { syncRequest: { ...request, relayed: true, waitMs: 0 } };
    return this.messenger.request(address, forwarded, FORWARD_TIMEOUT_MS);
  }
}
