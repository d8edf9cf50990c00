/**
 * What the answer to a command must look like. An answer that does not fit its command belongs to another one; an answer that
 * fits may still do so (see matched_connection.ts).
 */
import type { InstanceAnswer, InstanceErrorKind, TransactionState } from './instance_connection.js';
import { isSigned } from './recent_answers.js';
import type { InstanceCommand } from './statement.js';

/** Why an answer can't belong to a command; undefined if it may. */
export function misfitOf(
  command: InstanceCommand,
  /** State of the connection before the command. */
  before: TransactionState,
  answer: InstanceAnswer,
): string | undefined {
  if (answer.error) return misfitOfError(command, before, answer.error.kind, answer.state);
  const expectedState = stateAfter(command, before);
  if (answer.state !== expectedState) return `state ${answer.state} in place of ${expectedState}`;
  if (runsStatement(command)) return isSigned(answer) ? undefined : 'no signature';
  if (isSigned(answer) && command.kind !== 'rollback') return 'a signature';
  if (isAdministrative(command)) return answer.status ? undefined : 'no status';
  return answer.rows.length > 0 ? 'rows' : undefined;
}

function misfitOfError(
  command: InstanceCommand,
  before: TransactionState,
  kind: InstanceErrorKind,
  after: TransactionState,
): string | undefined {
  if (kind === 'lagging' && !hasMinimumPosition(command)) return 'lagging without a position';
  if (kind === 'unknownName' && !namesPrepared(command)) return 'unknown name without a name';
  const isPossible = after === 'failed' || after === before || endsTransaction(command);
  return isPossible ? undefined : `state ${after} after ${before}`;
}

/** State of the connection after a command that succeeded. */
function stateAfter(command: InstanceCommand, before: TransactionState): TransactionState {
  if (command.kind === 'begin') return 'open';
  return endsTransaction(command) ? 'idle' : before;
}

function endsTransaction({ kind }: InstanceCommand): boolean {
  return kind === 'commit' || kind === 'rollback';
}

function runsStatement({ kind }: InstanceCommand): boolean {
  return kind === 'data' || kind === 'commit';
}

/** Whether the command is answered with the status of the instance. */
export function isAdministrative({ kind }: InstanceCommand): boolean {
  return kind === 'status' || kind === 'pause' || kind === 'stepDown' || kind === 'resume';
}

function hasMinimumPosition(command: InstanceCommand): boolean {
  return (command.kind === 'data' || command.kind === 'begin') && command.after !== undefined;
}

function namesPrepared(command: InstanceCommand): boolean {
  if (command.kind === 'deallocate') return true;
  return command.kind === 'data' && command.statement.kind === 'execute';
}
