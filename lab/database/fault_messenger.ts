/** A messenger whose traffic with other group members can be cut, one way or both. */
import { PeerUnreachableError } from '../../src/errors/errors.js';
import type { MessageBody, Messenger, RequestHandler } from '../../src/runtime/runtime.js';

/** Messenger of an emulated instance. */
export class FaultMessenger implements Messenger {
  /** Drops requests to other members. */
  cutsOutgoing = false;
  /** Drops requests of other members. */
  cutsIncoming = false;

  constructor(private readonly inner: Messenger) {}

  async request(address: string, body: MessageBody, timeoutMs: number): Promise<MessageBody> {
    if (this.cutsOutgoing) throw new PeerUnreachableError(`${address} is cut off`);
    const reply = await this.inner.request(address, body, timeoutMs);
    if (this.cutsOutgoing) throw new PeerUnreachableError(`${address} is cut off`);
    return reply;
  }

  serve(handler: RequestHandler): void {
    this.inner.serve((body, from) => {
      if (this.cutsIncoming) throw new PeerUnreachableError('this member is cut off');
      return handler(body, from);
    });
  }
}
