/** Encoding of internal messages, shared by the real and the virtual transport. */
import { whinyoke } from './generated/messages.js';

/** One message together with what routes it. */
export interface Envelope {
  readonly id: number;
  readonly reply: boolean;
  readonly from: string;
  readonly body: whinyoke.IBody;
}

/** Bytes of an envelope. */
export function encodeEnvelope(envelope: Envelope): Uint8Array {
  return whinyoke.Envelope.encode(envelope).finish();
}

/** Reads an envelope; throws on malformed bytes. */
export function decodeEnvelope(bytes: Uint8Array): Envelope {
  const message = whinyoke.Envelope.decode(bytes);
  return {
    id: message.id,
    reply: message.reply,
    from: message.from,
    body: message.body ?? {},
  };
}
