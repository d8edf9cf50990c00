/** Entries of the replicated log, and their conversion from messages. */
import { whinyoke } from '../protocol/generated/messages.js';

/** Index and term of an entry, which identify it and, by log matching, all entries before it. */
export interface EntryPosition {
  /** Position in the log, from 1; 0 stands for the start of an empty log. */
  readonly index: number;
  /** Term of the leader that created the entry. */
  readonly term: number;
}

export interface LogEntry extends EntryPosition {
  /** What the entry changes: the state machine, the membership, or nothing. */
  readonly kind: whinyoke.EntryKind;
  /** Input of the state machine; empty for other kinds. */
  readonly command: Uint8Array;
  /** Membership from this entry on; only for membership changes. */
  readonly membership: whinyoke.IMembership | undefined;
}

export function entryFromMessage(message: whinyoke.ILogEntry): LogEntry {
  return {
    term: message.term ?? 0,
    index: message.index ?? 0,
    kind: message.kind ?? whinyoke.EntryKind.NO_OPERATION,
    command: message.command ?? new Uint8Array(0),
    membership: message.membership ?? undefined,
  };
}
