/** A fast hash for rendezvous tables of many nodes and keys. Loading it takes a moment; {@link stableHash} costs none. */
import xxhash from 'xxhash-wasm';
import type { TextHash } from './rendezvous.js';

const hasher = await xxhash();

/** XXH64 of a text. */
export const fastHash: TextHash = (text) => hasher.h64(text);
