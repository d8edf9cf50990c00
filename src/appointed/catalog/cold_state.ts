/**
 * DECISION: whether an instance of the catalog is cold after an entry. Pure; part of the replicated state, so it must give the
 * same on every control machine.
 *
 * Answers: instances that are new, start again under their identifier, or come back from an evacuation.
 * Inputs: the entry in force, the one that was told, with the leader's opinion (is it cold, and of which coldness does it speak),
 *   and the log index.
 * Rule: a new instance or incarnation is as cold as its first heartbeat told. A cold one stays cold unless the leader's opinion
 *   is on this very coldness: one that began meanwhile goes on. A warm one that tells of a warm-up is cold from then on.
 *   The holder stays until another one is named: it may not have heard yet that it is needed no more.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

type Entry = Readonly<whinyoke.IInstanceEntry>;

/** Fields of an entry that this module decides. */
export type ColdState = Pick<
  whinyoke.IInstanceEntry,
  'isCold' | 'coldSince' | 'holder' | 'holderIncarnation' | 'holderAddress'
>;

/** Whether `told` is of another incarnation than `known`; one that does not tell when it was born is not. */
export function isOtherIncarnation(known: Entry, reported: Entry): boolean {
  if ((reported.incarnation ?? 0) > (known.incarnation ?? 0)) return true;
  const hasRestarted = (reported.born ?? 0) !== (known.born ?? 0);
  return hasRestarted && (reported.born ?? 0) !== 0;
}

function coldSince(known: Entry | undefined, reported: Entry, index: number): number {
  const isNew = !known || isOtherIncarnation(known, reported);
  if (!isNew && known.isCold) {
    const hasEnded = !reported.isCold && reported.coldSince === known.coldSince;
    return hasEnded ? 0 : (known.coldSince ?? 0);
  }
  return reported.isCold ? index : 0;
}

/** Coldness of an instance after an entry. */
export function coldStateAfter(
  known: Entry | undefined,
  reported: Entry,
  index: number,
): ColdState {
  const since = coldSince(known, reported, index);
  const { holder, holderIncarnation, holderAddress } = known ?? {};
  return { isCold: since > 0, coldSince: since, holder, holderIncarnation, holderAddress };
}
