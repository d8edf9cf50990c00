/**
 * Statements of callers and commands to instances, independent of the wire protocol. Arguments are
 * passed on without being parsed.
 */
import { createHash } from 'node:crypto';
import type { Position } from '../../positions/position.js';

/** Whether a statement may change data. */
export type Access = 'read' | 'write';

/** A prepared statement without its arguments. */
export interface PreparedShape {
  /** Whether executing it may change data. */
  readonly access: Access;
  /** Text of the statement, not parsed. */
  readonly shape: string;
}

/** A statement of a caller. */
export type CallerStatement =
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: Access; readonly argument: string }
  | { readonly kind: 'execute'; readonly name: string; readonly argument: string }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedShape }
  | { readonly kind: 'deallocate'; readonly name: string }
  | { readonly kind: 'malformed'; readonly problem: string };

/** A statement that reads or writes data, with everything that the instance needs to run it. */
export type DataStatement =
  | { readonly kind: Access; readonly argument: string }
  | {
      readonly kind: 'execute';
      readonly prepared: PreparedShape;
      readonly argument: string;
    };

/** A command to an instance. `id` is the identifier of the caller's request. */
export type InstanceCommand =
  | { readonly kind: 'begin'; readonly readOnly: boolean; readonly after?: Position }
  | { readonly kind: 'commit'; readonly id: string }
  | { readonly kind: 'rollback'; readonly id: string }
  | {
      readonly kind: 'data';
      readonly id: string;
      readonly statement: DataStatement;
      readonly after?: Position;
    }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'prepare'; readonly prepared: PreparedShape }
  | { readonly kind: 'deallocate'; readonly prepared: PreparedShape }
  | { readonly kind: 'reset' }
  | { readonly kind: 'status' }
  | { readonly kind: 'pause'; readonly term: number }
  | { readonly kind: 'stepDown'; readonly term: number }
  | { readonly kind: 'resume' };

/** Returns whether a statement may change data. */
export function accessOf(statement: DataStatement): Access {
  return statement.kind === 'execute' ? statement.prepared.access : statement.kind;
}

/** Length of a shared name: enough of the digest that nobody can find two shapes with the same one. */
const NAME_CHARACTERS = 32;

/**
 * Name under which a statement is prepared on instance connections, the same for all callers. It is a digest of the access and
 * the text, so that it stands for one shape whatever callers choose, and holds no blank.
 */
export function sharedPreparedName({ access, shape }: PreparedShape): string {
  // Of the encodings, only this one gives different texts different bytes.
  const bytes = Buffer.from(`${access} ${shape}`, 'utf16le');
  const digest = createHash('sha256').update(bytes).digest('base64url');
  return digest.slice(0, NAME_CHARACTERS);
}
