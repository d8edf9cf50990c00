/**
 * XXH64, for rendezvous tables of many nodes and keys. Loading this module compiles WebAssembly, so programs that hash
 * only a few keys use `stableHash`.
 */
import xxhash from 'xxhash-wasm';
import type { TextHash } from './rendezvous.js';

const hasher = await xxhash();

export const fastHash: TextHash = (text) => hasher.h64(text);
