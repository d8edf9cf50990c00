/** Random numbers from a seed, by the `pure-rand` library. Owns the generator; relies on nothing that may fail. */
import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RandomSource } from './runtime.js';

const TWO_TO_32 = 2 ** 32;

/** The same seed gives the same numbers. */
export class SeededRandom implements RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A source seeded by the operating system. */
  static fromSystem(): SeededRandom {
    return new SeededRandom(randomBytes(4).readInt32BE(0));
  }

  /** A number in [0, 1). */
  next(): number {
    return (this.generator.next() >>> 0) / TWO_TO_32;
  }

  /** An integer in [minimum, maximum]. */
  integer(minimum: number, maximum: number): number {
    return minimum + Math.floor(this.next() * (maximum - minimum + 1));
  }

  /** A random identifier of 16 hexadecimal digits. */
  identifier(): string {
    const half = (): string => (this.generator.next() >>> 0).toString(16).padStart(8, '0');
    return half() + half();
  }
}
