/** Texts that callers of the simulation choose: session values, shapes of prepared statements, and arguments. */
import type { RandomSource } from '../../src/runtime/runtime.js';
import { pick } from './fault_targets.js';

/** What a caller draws its texts from. */
export interface CallerTexts {
  /** Shares of the operations that set a value, and that prepare a statement. */
  readonly setShare: number;
  readonly prepareShare: number;
  /** Number of the names of values, and of those of prepared statements. */
  readonly valueNames: number;
  readonly preparedNames: number;
  /** Value that a request with an identifier sets. */
  value(id: string): string;
  shape(): string;
  argument(): string;
}

const PLAIN_SHAPES = 4;

/** Short plain texts. */
export function plainTexts(random: RandomSource): CallerTexts {
  return {
    setShare: 0.08,
    prepareShare: 0.08,
    valueNames: 2,
    preparedNames: 2,
    value: (id) => id,
    shape: () => `q${random.integer(1, PLAIN_SHAPES)}`,
    argument: () => 'thing',
  };
}

const ANY_BYTES_SHARE = 0.2;
const CONTINUED_SHARE = 0.4;
const MOST_BYTES = 12;
const LINE_END = '\r\n';

function anyBytes(random: RandomSource): string {
  const length = random.integer(0, MOST_BYTES);
  const bytes = Array.from({ length }, () => String.fromCharCode(random.integer(0, 255)));
  return bytes.join('').replaceAll(LINE_END, '');
}

/** Texts of any bytes but the end of a line; among the shapes are some that continue like a message that prepares another. */
export function arbitraryTexts(random: RandomSource): CallerTexts {
  const plain = plainTexts(random);
  return {
    setShare: 0.12,
    prepareShare: 0.16,
    valueNames: 4,
    preparedNames: 4,
    value: (id) => `${id} ${anyBytes(random)}`,
    shape: () => {
      const shape = plain.shape();
      const choice = random.next();
      if (choice < ANY_BYTES_SHARE) return `${shape}${anyBytes(random)}`;
      const isContinued = choice < ANY_BYTES_SHARE + CONTINUED_SHARE;
      return isContinued ? `${shape} ${pick(['read', 'write'], random)} other` : shape;
    },
    argument: () => `thing ${anyBytes(random)}`,
  };
}
