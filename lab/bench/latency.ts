/** Latencies of one experiment, kept in an HDR histogram. */
import { type Histogram, build } from 'hdr-histogram-js';

const MICROSECONDS = 1000;
const HIGHEST_MICROSECONDS = 120_000_000;

/** A distribution of times. */
export class Latency {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  /** Adds a time in milliseconds. */
  add(milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS);
    this.histogram.recordValue(Math.min(Math.max(microseconds, 0), HIGHEST_MICROSECONDS));
  }

  /** Number of times. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Shortest time, in milliseconds. */
  get minimum(): number {
    return this.count === 0 ? NaN : this.histogram.minNonZeroValue / MICROSECONDS;
  }

  /** Longest time, in milliseconds. */
  get maximum(): number {
    return this.count === 0 ? NaN : this.histogram.maxValue / MICROSECONDS;
  }

  /** Time that `percent` of all are at or below, in milliseconds. */
  percentile(percent: number): number {
    if (this.count === 0) return NaN;
    return this.histogram.getValueAtPercentile(percent) / MICROSECONDS;
  }
}
