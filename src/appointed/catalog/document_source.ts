/**
 * Compresses the text of routing documents for storage and transport. Pure; damaged bytes throw.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Returns a document with its text compressed. */
export function documentOf(version: number, source: string): whinyoke.IRoutingDocument {
  return { version, source: deflateRawSync(Buffer.from(source, 'utf8')) };
}

/** Returns the text of a document. */
export function inflateSource(document: whinyoke.IRoutingDocument): string {
  return inflateRawSync(document.source ?? new Uint8Array(0)).toString('utf8');
}
