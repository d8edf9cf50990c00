/**
 * Decides whether an instance is cold after an entry of the replicated log. A cold instance gets
 * requests from a single proxy at a limited rate until it has warmed up.
 *
 * A new instance or incarnation is as cold as its first heartbeat reports. A warm instance that
 * reports a warm-up becomes cold at this entry. A cold instance becomes warm only if the entry
 * refers to its current cold state by `coldSince`; this keeps a cold state that began after the
 * leader evaluated the heartbeat, for example at the end of an evacuation. The holder, the proxy
 * that may send requests, stays until another one is set, because it may not know yet that the
 * instance is warm.
 *
 * Pure, as part of the replicated state: it must give the same result on every control machine.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

type Entry = Readonly<whinyoke.IInstanceEntry>;

/** Fields of an instance entry that this module decides. */
export type ColdState = Pick<
  whinyoke.IInstanceEntry,
  'isCold' | 'coldSince' | 'holder' | 'holderIncarnation' | 'holderAddress'
>;

/**
 * Whether `reported` is of another incarnation than `known`. An entry without a start time (`born`)
 * or a later incarnation number counts as the same incarnation.
 */
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

/** Cold state of an instance after an entry. */
export function coldStateAfter(
  known: Entry | undefined,
  reported: Entry,
  index: number,
): ColdState {
  const since = coldSince(known, reported, index);
  const { holder, holderIncarnation, holderAddress } = known ?? {};
  return { isCold: since > 0, coldSince: since, holder, holderIncarnation, holderAddress };
}
