/**
 * Forwards synchronisation requests of other proxies to the control leader: a proxy may be partitioned from the leader while
 * this one reaches it. A failed request to the leader fails the forwarded request.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { MessageBody, Messenger } from '../../runtime/runtime.js';

/** Covers a round trip and the work of the leader, which answers forwarded requests without delay. */
const FORWARD_TIMEOUT_MS = 400;

export class RequestForwarder {
  constructor(
    private readonly messenger: Messenger,
    /** Address of the leader; empty while unknown. */
    private readonly leaderAddress: () => string,
  ) {}

  /** Answers with the reply of the leader, or refuses. A request that was already forwarded is refused. */
  forward(request: whinyoke.ISyncRequest | null | undefined): Promise<MessageBody> | MessageBody {
    if (!request || request.relayed) return { refusal: { reason: 'not for a proxy' } };
    const address = this.leaderAddress();
    if (address === '') return { refusal: { reason: 'no leader is known' } };
    const forwarded = { syncRequest: { ...request, relayed: true, waitMs: 0 } };
    return this.messenger.request(address, forwarded, FORWARD_TIMEOUT_MS);
  }
}
