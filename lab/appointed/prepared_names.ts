/**
 * How an emulated instance reads messages that name a prepared statement: blanks part the fields, and the last one runs to the
 * end. A name that holds a blank is read as something else.
 */
import {
  type DataStatement,
  type PreparedShape,
  sharedPreparedName,
} from '../../src/appointed/instance/statement.js';

/** Gives prepared statements their names on a connection. */
export type PreparedNaming = (prepared: PreparedShape) => string;

/** Names as the product makes them. */
export const SHARED_NAMING: PreparedNaming = sharedPreparedName;

/** Names that hold the text of the shape. */
export const SHAPE_NAMING: PreparedNaming = ({ access, shape }) => `${access[0]}_${shape}`;

/** A text and what follows its first blank. */
function cutAtBlank(text: string): readonly [string, string] {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

/** What a message that prepares a statement is read as; undefined if it is malformed. */
export function readPreparation(
  { access, shape }: PreparedShape,
  name: string,
): { readonly name: string; readonly prepared: PreparedShape } | undefined {
  const [nameRead, rest] = cutAtBlank(`${name} ${access} ${shape}`);
  const [accessRead, shapeRead] = cutAtBlank(rest);
  if (accessRead !== 'read' && accessRead !== 'write') return undefined;
  return { name: nameRead, prepared: { access: accessRead, shape: shapeRead } };
}

/** What a statement runs as, given what is prepared on its connection; undefined if it names nothing that is. */
export function readStatement(
  statement: DataStatement,
  preparedByName: ReadonlyMap<string, PreparedShape>,
  naming: PreparedNaming,
): DataStatement | undefined {
  if (statement.kind !== 'execute') return statement;
  const [name, argument] = cutAtBlank(`${naming(statement.prepared)} ${statement.argument}`);
  const prepared = preparedByName.get(name);
  return prepared && { kind: 'execute', prepared, argument };
}
