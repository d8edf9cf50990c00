/** Text of routing documents as it is stored and sent: compressed. Pure; damaged bytes throw. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Document with its text compressed. */
export function documentOf(version: number, source: string): whinyoke.IRoutingDocument {
  return { version, source: deflateRawSync(Buffer.from(source, 'utf8')) };
}

/** Text of a document. */
export function inflateSource(document: whinyoke.IRoutingDocument): string {
  return inflateRawSync(document.source ?? new Uint8Array(0)).toString('utf8');
}
