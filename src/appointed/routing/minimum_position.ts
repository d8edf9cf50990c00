/**
 * Position floors of one group: which position a replica must have applied so that its answer is fresh enough.
 *
 * Situation: a read may go to a replica only if that replica has applied every commit acknowledged before a given time.
 * Inputs: positions that the trusted primary answered, each with the time its request was sent (milliseconds, clock of this
 * process). A position counts from that time: it covers every commit that was acknowledged before.
 * Rule: the floor of a read is the oldest known position whose request was sent at the wanted time or later: young enough
 * to be right, and old enough that replicas have probably applied it. See docs/design/appointed-primaries.md.
 * Relies on nothing: no I/O; the caller vouches that the primary was trusted.
 */
import { type Position, latest } from '../../positions/position.js';

interface Sample {
  readonly sentAt: number;
  readonly position: Position;
}

/** Positions closer together than this are left out, in milliseconds; it bounds memory. Guess, not measured. */
const MIN_SAMPLE_SPACING_MS = 25;
/** Positions are kept for this long, in milliseconds; wider staleness bounds get no older floor. Guess, not measured. */
const HISTORY_MS = 10_000;

/** History of one group in one epoch. */
export class MinimumPosition {
  private samples: Sample[] = [];
  private epoch = 0;
  private highest: Position | undefined;

  /** Adds a position that the primary of `epoch` answered to a request sent at `sentAt`. */
  record(epoch: number, sentAt: number, position: Position): void {
    if (epoch < this.epoch) return;
    if (epoch > this.epoch) this.reset(epoch);
    this.highest = this.highest ? latest(this.highest, position) : position;
    const newest = this.samples.at(-1);
    if (newest && sentAt < newest.sentAt + MIN_SAMPLE_SPACING_MS) return;
    this.samples.push({ sentAt, position });
    const oldestKeptSentAt = sentAt - HISTORY_MS;
    while (this.samples[0]!.sentAt < oldestKeptSentAt) this.samples.shift();
  }

  /** Newest position that the primary of an epoch told; undefined when there is none. */
  highestInEpoch(epoch: number | undefined): Position | undefined {
    return epoch === this.epoch ? this.highest : undefined;
  }

  /** Oldest position whose request was sent at `time` or later; undefined when there is none. */
  oldestSentSince(sentSince: number): Position | undefined {
    return this.samples.find((sample) => sample.sentAt >= sentSince)?.position;
  }

  /** When the newest request was sent. */
  get newestSentAt(): number | undefined {
    return this.samples.at(-1)?.sentAt;
  }

  private reset(epoch: number): void {
    this.epoch = epoch;
    this.samples = [];
    this.highest = undefined;
  }
}
