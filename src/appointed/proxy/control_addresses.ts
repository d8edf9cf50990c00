/**
 * Addresses of control machines: those that the settings name, and those that control last listed. Owns both lists and
 * whose turn it is to be asked; relies on nothing that may fail.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Control machines that one proxy knows. */
export class ControlAddresses {
  private listed: readonly string[];
  private nextIndex = 0;

  constructor(private seeds: readonly string[]) {
    this.listed = seeds;
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Takes over the list of a reply. */
  recordListed(reply: whinyoke.ISyncReply): void {
    const listed = reply.directory?.controlAddresses ?? reply.controlAddresses ?? [];
    if (listed.length > 0) this.listed = listed;
  }

  /** Next machine, in turn, that is not in `excluded`; undefined when none is left. */
  next(excluded: ReadonlySet<string>): string | undefined {
    const all = new Set([...this.listed, ...this.seeds]);
    const candidates = [...all].filter((address) => !excluded.has(address));
    return candidates[this.nextIndex++ % candidates.length];
  }
}
