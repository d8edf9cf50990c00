/**
 * Remembers the newest answers of one connection, to recognise a second copy of one. A copy is equal to the first one in every
 * field, its log position included.
 */
import type { InstanceAnswer } from './instance_connection.js';

/** Signature of answers to commands that run no statement. */
const NO_SIGNATURE = '-';
/** Number of answers that are remembered: more than a connection carries in some seconds. */
const CAPACITY = 512;

/** Whether the answer has a signature of its own, which no other answer has. */
export function isSigned({ error, signature }: InstanceAnswer): boolean {
  return !error && signature !== '' && signature !== NO_SIGNATURE;
}

/** Text that is the same for two answers if one is a copy of the other. */
export function identityOf(answer: InstanceAnswer): string {
  if (isSigned(answer)) return answer.signature;
  const { rows, error, state, position, status } = answer;
  return JSON.stringify([state, position, error, status, rows]);
}

/** Identities of the newest answers of one connection. */
export class RecentAnswers {
  private readonly identities = new Set<string>();

  has(identity: string): boolean {
    return this.identities.has(identity);
  }

  /** Adds an identity, or makes it the newest one; forgets the oldest one beyond the capacity. */
  add(identity: string): void {
    this.identities.delete(identity);
    this.identities.add(identity);
    if (this.identities.size <= CAPACITY) return;
    const [oldest] = this.identities;
    if (oldest !== undefined) this.identities.delete(oldest);
  }
}
