/** Conversion of positions in internal messages. */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { Position } from './position.js';

/** Decodes a position; undefined if the message has none. */
export function positionOf(message: whinyoke.IPosition | null | undefined): Position | undefined {
  return message ? { term: message.term ?? 0, sequence: message.sequence ?? 0 } : undefined;
}
