/**
 * Positions of a trusted primary over the last seconds. A position counts from the moment its request was
 * sent: it covers every commit that was acknowledged before. See docs/design/appointed-primaries.md.
 */
import type { Position } from '../../positions/position.js';

interface Sample {
  readonly sentAt: number;
  readonly position: Position;
}

const SAMPLE_SPACING_MS = 25;
const HISTORY_MS = 10_000;

/** History of one group in one epoch. */
export class PositionFloor {
  private samples: Sample[] = [];
  private epoch = 0;

  /** Notes a position that the primary of `epoch` answered to a request sent at `sentAt`. */
  note(epoch: number, sentAt: number, position: Position): void {
    if (epoch < this.epoch) return;
    if (epoch > this.epoch) this.reset(epoch);
    const newest = this.samples.at(-1);
    if (newest && sentAt < newest.sentAt + SAMPLE_SPACING_MS) return;
    this.samples.push({ sentAt, position });
    const oldest = sentAt - HISTORY_MS;
    while (this.samples[0]!.sentAt < oldest) this.samples.shift();
  }

  /** Oldest position whose request was sent at `time` or later; undefined when there is none. */
  oldestSince(time: number): Position | undefined {
    return this.samples.find((sample) => sample.sentAt >= time)?.position;
  }

  /** When the newest request was sent. */
  get newestSentAt(): number | undefined {
    return this.samples.at(-1)?.sentAt;
  }

  private reset(epoch: number): void {
    this.epoch = epoch;
    this.samples = [];
  }
}
