/**
 * DECISION: whether an entry tells of the present incarnation of an instance, of one that follows, or comes late.
 *
 * Answers: instances that start again under their identifier, late heartbeats of the incarnation before, clocks that are set back.
 * Inputs: `born` (Unix ms, 0 where it is not told), sequence, state and number of the known incarnation and of the entry; an entry
 *   names the number that follows where the leader found that the known incarnation has ended (`instance_monitor.ts`).
 * Rule: a later `born` is the next incarnation; an earlier one only when the entry names the number that follows. The same, or none,
 *   is the same incarnation: an entry with a lower sequence, or of one that is gone, is late. An instance that begins to tell
 *   `born` is a new incarnation only where its sequence is lower.
 * Constants: none. Tests: test/unit/incarnations.test.ts. Pure.
 */
import { whinyoke } from '../../protocol/generated/messages.js';

const { InstanceState } = whinyoke;

/** How an entry stands to what is known of its instance. */
export type EntryOrder = 'same' | 'next' | 'late';

type Entry = Readonly<whinyoke.IInstanceEntry>;

/** Judges an entry against the known one of the same instance. */
export function classifyEntry(known: Entry, reported: Entry): EntryOrder {
  const knownStartedAt = known.born ?? 0;
  const startedAt = reported.born ?? 0;
  if (startedAt === 0 || startedAt === knownStartedAt)
    return classifyWithinIncarnation(known, reported);
  if (knownStartedAt === 0) return classifyFirstStartTime(known, reported);
  if (startedAt > knownStartedAt) return 'next';
  return reported.incarnation === (known.incarnation ?? 0) + 1 ? 'next' : 'late';
}

/** Order of two entries of one incarnation. */
function classifyWithinIncarnation(known: Entry, reported: Entry): EntryOrder {
  const isLate = (reported.sequence ?? 0) < (known.sequence ?? 0);
  return isLate || known.state === InstanceState.GONE ? 'late' : 'same';
}

/** Order of the first entry that tells `born`. */
function classifyFirstStartTime(known: Entry, reported: Entry): EntryOrder {
  const order = classifyWithinIncarnation(known, reported);
  return order === 'late' && known.state !== InstanceState.GONE ? 'next' : order;
}
