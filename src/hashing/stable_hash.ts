/** A hash that costs nothing at the start of a process, for tens of keys now and then; {@link fastHash} serves where there are many. */
import { createHash } from 'node:crypto';
import type { TextHash } from './rendezvous.js';

/** First 64 bits of the SHA-1 of a text. */
export const stableHash: TextHash = (text) =>
  createHash('sha1').update(text).digest().readBigUInt64BE();
