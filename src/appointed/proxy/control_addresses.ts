/** Addresses of control machines: those in the settings and those that control last listed, tried round robin. */
import type { whinyoke } from '../../protocol/generated/messages.js';

export class ControlAddresses {
  private listed: readonly string[];
  private nextIndex = 0;

  constructor(private seeds: readonly string[]) {
    this.listed = seeds;
  }

  /** Updates the addresses in the settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Updates the addresses listed by control. */
  recordListed(reply: whinyoke.ISyncReply): void {
    const listed = reply.directory?.controlAddresses ?? reply.controlAddresses ?? [];
    if (listed.length > 0) this.listed = listed;
  }

  /** Next address, round robin, that is not in `excluded`; undefined if there is none. */
  next(excluded: ReadonlySet<string>): string | undefined {
    const all = new Set([...this.listed, ...this.seeds]);
    const candidates = [...all].filter((address) => !excluded.has(address));
    return candidates[this.nextIndex++ % candidates.length];
  }
}
