/**
 * Encodes and decodes the commands and answers of relayed statements. Pure: no I/O, no clock. A
 * command of an unknown kind decodes to undefined; missing fields decode to their defaults.
 */
import { whinyoke } from '../../protocol/generated/messages.js';
import type {
  InstanceAnswer,
  InstanceErrorKind,
  InstanceStatus,
  TransactionState,
} from '../instance/instance_connection.js';
import type { DataStatement, InstanceCommand } from '../instance/statement.js';
import { START } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

/** Commands that are relayed. Session values and prepared statements are sent along with them. */
export type RelayedCommand = Extract<
  InstanceCommand,
  { kind: 'begin' | 'commit' | 'rollback' | 'data' | 'status' }
>;

export function encodeRelayCommand(command: RelayedCommand): whinyoke.IRelayCommand {
  switch (command.kind) {
    case 'begin':
      return { begin: { readOnly: command.readOnly, after: command.after } };
    case 'commit':
      return { commit: command.id };
    case 'rollback':
      return { rollback: command.id };
    case 'status':
      return { status: true };
    case 'data':
      return { data: { id: command.id, after: command.after, ...encodeData(command.statement) } };
  }
}

function encodeData(statement: DataStatement): whinyoke.IRelayData {
  const { argument } = statement;
  if (statement.kind !== 'execute') return { writes: statement.kind === 'write', argument };
  const { access, shape } = statement.prepared;
  return { writes: access === 'write', argument, isPrepared: true, shape };
}

/** Decodes a command; undefined if the message has none of a known kind. */
export function decodeRelayCommand(
  message: whinyoke.IRelayCommand | null | undefined,
): RelayedCommand | undefined {
  if (message?.begin) {
    const { readOnly, after } = message.begin;
    return { kind: 'begin', readOnly: readOnly ?? false, after: positionOf(after) };
  }
  if (message?.data) {
    const { id, after } = message.data;
    const statement = decodeData(message.data);
    return { kind: 'data', id: id ?? '', statement, after: positionOf(after) };
  }
  if (message?.status) return { kind: 'status' };
  if (message?.commit) return { kind: 'commit', id: message.commit };
  if (message?.rollback) return { kind: 'rollback', id: message.rollback };
  return undefined;
}

function decodeData({ writes, argument, isPrepared, shape }: whinyoke.IRelayData): DataStatement {
  const access = writes ? 'write' : 'read';
  const text = argument ?? '';
  if (!isPrepared) return { kind: access, argument: text };
  return { kind: 'execute', prepared: { access, shape: shape ?? '' }, argument: text };
}

export function encodeRelayAnswer(answer: InstanceAnswer): whinyoke.IRelayAnswer {
  const { rows, signature, error, state, position, status } = answer;
  return {
    rows: [...rows],
    signature,
    errorKind: error?.kind,
    errorText: error?.text,
    state,
    position,
    status: status && {
      isPrimary: status.role === 'primary',
      term: status.term,
      received: status.received,
      heldTerm: status.fencedTerm,
      lagMs: status.lagMs,
    },
  };
}

export function decodeRelayAnswer(message: whinyoke.IRelayAnswer): InstanceAnswer {
  const { rows, signature, errorKind, errorText, state, position, status } = message;
  const kind = errorKind as InstanceErrorKind | undefined;
  return {
    rows: rows ?? [],
    signature: signature ?? '',
    error: kind ? { kind, text: errorText ?? '' } : undefined,
    state: (state as TransactionState | undefined) ?? 'failed',
    position: positionOf(position),
    status: status ? decodeStatus(status) : undefined,
  };
}

function decodeStatus(message: whinyoke.IRelayStatus): InstanceStatus {
  return {
    role: message.isPrimary ? 'primary' : 'replica',
    term: message.term ?? 0,
    received: positionOf(message.received) ?? START,
    fencedTerm: message.heldTerm ?? 0,
    lagMs: message.lagMs ?? 0,
  };
}
