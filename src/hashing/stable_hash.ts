/** Hash of texts that costs nothing at the start of a process: the homes of tens of instances are hashed now and then. */
import { createHash } from 'node:crypto';
import type { TextHash } from './rendezvous.js';

/** First 64 bits of the SHA-1 of a text. */
export const stableHash: TextHash = (text) =>
  createHash('sha1').update(text).digest().readBigUInt64BE();
