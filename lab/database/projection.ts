/** Output rows of a SELECT: order, limit, columns and COUNT over the rows that were found. */
import { type Scope, evaluate } from './evaluate.js';
import type { Statement, Value } from './sql/syntax.js';

/** A SELECT statement. */
export type Select = Extract<Statement, { kind: 'select' }>;

/** Columns and rows of an answer. */
export interface Projection {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Value[])[];
}

function order(statement: Select, scopes: readonly Scope[]): readonly Scope[] {
  const orderBy = statement.orderBy;
  if (!orderBy) return scopes;
  const direction = orderBy.descending ? -1 : 1;
  return [...scopes].sort((left, right) => {
    const a = left.column(orderBy.column);
    const b = right.column(orderBy.column);
    if (a === b) return 0;
    return (a === null || (b !== null && a < b) ? -1 : 1) * direction;
  });
}

/**
 * Projects the rows that a statement found.
 * @param names - columns that `*` stands for
 */
export function project(
  statement: Select,
  scopes: readonly Scope[],
  names: readonly string[],
): Projection {
  const ordered = order(statement, scopes);
  const limited = statement.limit === undefined ? ordered : ordered.slice(0, statement.limit);
  const columns = statement.items.flatMap((item) =>
    item.expression.kind === 'star' ? [...names] : [item.alias],
  );
  const isCount = statement.items.some(
    (item) => item.expression.kind === 'call' && item.expression.name === 'COUNT',
  );
  if (isCount) return { columns, rows: [columns.map(() => scopes.length)] };
  const rows = limited.map((scope) =>
    statement.items.flatMap((item) =>
      item.expression.kind === 'star'
        ? names.map((name) => scope.column(name))
        : [evaluate(item.expression, scope)],
    ),
  );
  return { columns, rows };
}
