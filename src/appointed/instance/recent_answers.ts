/**
 * Remembers the answers of one connection for some time, to recognise a second copy of one. A copy is equal to the first one in
 * every field, its log position included.
 */
import type { InstanceAnswer } from './instance_connection.js';

/** Signature of answers to commands that run no statement. */
const NO_SIGNATURE = '-';
/** Time for which an answer is remembered at least, in milliseconds. */
const MEMORY_MS = 30_000;
/** Number of answers after which older ones are forgotten sooner: more than a connection carries in that time. */
const CAPACITY = 32_768;

/** Length up to which texts of errors are compared. */
const COMPARED_CHARACTERS = 200;

/** Whether the answer has a signature of its own, which no other answer has. */
export function isSigned({ error, signature }: InstanceAnswer): boolean {
  return !error && signature !== '' && signature !== NO_SIGNATURE;
}

/** Text that is the same for two answers if one is a copy of the other. */
export function identityOf(answer: InstanceAnswer): string {
  if (isSigned(answer)) return answer.signature;
  const { rows, error, state, position, status } = answer;
  const text = error?.text.slice(0, COMPARED_CHARACTERS);
  return JSON.stringify([state, position, error?.kind, text, status, rows]);
}

/**
 * Identities of the answers of one connection, in two generations: when the newer one is old or full, it becomes the older one,
 * and the one before is forgotten.
 */
export class RecentAnswers {
  private newer = new Set<string>();
  private older = new Set<string>();
  private newerSince = -Infinity;

  has(identity: string): boolean {
    return this.newer.has(identity) || this.older.has(identity);
  }

  /** @param now - time of its arrival, in milliseconds */
  add(identity: string, now: number): void {
    if (now - this.newerSince >= MEMORY_MS || this.newer.size >= CAPACITY) {
      this.older = this.newer;
      this.newer = new Set();
      this.newerSince = now;
    }
    this.newer.add(identity);
  }
}
