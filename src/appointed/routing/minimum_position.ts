/**
 * Determines the minimum position that a replica of a group must have applied to serve a read within a staleness bound.
 *
 * Records positions that the trusted primary returned, each with the time its request was sent on the clock of this process.
 * Such a position covers every commit acknowledged before that time. The minimum position of a read is the oldest one whose
 * request was sent at the required time or later: recent enough to be correct, and old enough that replicas have probably
 * applied it. The caller must have checked that the primary was trusted.
 */
import { type Position, latest } from '../../positions/position.js';

interface Sample {
  readonly sentAt: number;
  readonly position: Position;
}

/** Samples closer together than this are dropped to bound memory. */
const MIN_SAMPLE_SPACING_MS = 25;
/** How long samples are kept; longer staleness bounds don't get an older minimum position. */
const HISTORY_MS = 10_000;

/** Recent positions of one group's primary in its current epoch. */
export class MinimumPosition {
  private samples: Sample[] = [];
  private epoch = 0;
  private highest: Position | undefined;

  /** Adds a position that the primary of `epoch` returned for a request sent at `sentAt`. */
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

  /** Highest position that the primary of an epoch returned; undefined if there is none. */
  highestInEpoch(epoch: number | undefined): Position | undefined {
    return epoch === this.epoch ? this.highest : undefined;
  }

  /** Oldest position whose request was sent at `sentSince` or later; undefined if there is none. */
  oldestSentSince(sentSince: number): Position | undefined {
    return this.samples.find((sample) => sample.sentAt >= sentSince)?.position;
  }

  /** When the request of the newest sample was sent. */
  get newestSentAt(): number | undefined {
    return this.samples.at(-1)?.sentAt;
  }

  private reset(epoch: number): void {
    this.epoch = epoch;
    this.samples = [];
    this.highest = undefined;
  }
}
