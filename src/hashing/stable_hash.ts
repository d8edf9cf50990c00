/**
 * A hash without load time, for a few dozen keys that are hashed rarely. `fastHash` is the choice for many keys.
 */
import { createHash } from 'node:crypto';
import type { TextHash } from './rendezvous.js';

/** First 64 bits of a text's SHA-1 digest. */
export const stableHash: TextHash = (text) =>
  createHash('sha1').update(text).digest().readBigUInt64BE();
