/**
 * Decides whether an instance entry is of the known incarnation, of the next one, or late. This
 * guards against delayed heartbeats of an earlier incarnation and against clocks that were set
 * back.
 *
 * An entry with a later start time (`born`, Unix ms, 0 if not reported) is the next incarnation.
 * One with an earlier start time is the next only if it carries the next incarnation number, which
 * the leader assigns after the known incarnation has ended (`instance_monitor.ts`). With the same
 * start time or none, an entry is late if its sequence is lower or the known incarnation is gone.
 * If only the entry has a start time, a lower sequence means the next incarnation, unless the known
 * one is gone. Pure: no I/O, no clock.
 */
import { whinyoke } from '../../protocol/generated/messages.js';

const { InstanceState } = whinyoke;

/** How an entry relates to the known entry of its instance. */
export type EntryOrder = 'same' | 'next' | 'late';

type Entry = Readonly<whinyoke.IInstanceEntry>;

/** Compares an entry with the known entry of the same instance. */
export function classifyEntry(known: Entry, reported: Entry): EntryOrder {
  const knownStartedAt = known.born ?? 0;
  const startedAt = reported.born ?? 0;
  if (startedAt === 0 || startedAt === knownStartedAt)
    return classifyWithinIncarnation(known, reported);
  if (knownStartedAt === 0) return classifyFirstStartTime(known, reported);
  if (startedAt > knownStartedAt) return 'next';
  return reported.incarnation === (known.incarnation ?? 0) + 1 ? 'next' : 'late';
}

/** Compares two entries of one incarnation. */
function classifyWithinIncarnation(known: Entry, reported: Entry): EntryOrder {
  const isLate = (reported.sequence ?? 0) < (known.sequence ?? 0);
  return isLate || known.state === InstanceState.GONE ? 'late' : 'same';
}

/** Compares the first entry that has a start time with a known entry that has none. */
function classifyFirstStartTime(known: Entry, reported: Entry): EntryOrder {
  const order = classifyWithinIncarnation(known, reported);
  return order === 'late' && known.state !== InstanceState.GONE ? 'next' : order;
}
