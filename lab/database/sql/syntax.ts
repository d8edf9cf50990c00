/** Syntax tree of the SQL subset that the emulated database understands. */

/** A column value. */
export type Value = string | number | null | Buffer;

/** A value expression. */
export type Expression =
  | { readonly kind: 'literal'; readonly value: Value }
  | { readonly kind: 'column'; readonly name: string }
  | { readonly kind: 'system_variable'; readonly name: string }
  | { readonly kind: 'user_variable'; readonly name: string }
  | { readonly kind: 'call'; readonly name: string; readonly parameters: readonly Expression[] }
  | { readonly kind: 'star' }
  | {
      readonly kind: 'binary';
      readonly operator: string;
      readonly left: Expression;
      readonly right: Expression;
    }
  | { readonly kind: 'is_null'; readonly operand: Expression; readonly negated: boolean }
  | { readonly kind: 'in'; readonly operand: Expression; readonly choices: readonly Expression[] };

/** An output column of a select. */
export interface SelectItem {
  readonly expression: Expression;
  readonly alias: string;
}

/** A column of a create table statement. */
export interface ColumnDefinition {
  readonly name: string;
  readonly type: string;
  readonly autoIncrement: boolean;
}

/** A parsed statement. */
export type Statement =
  | {
      readonly kind: 'create_table';
      readonly table: string;
      readonly ifNotExists: boolean;
      readonly columns: readonly ColumnDefinition[];
      readonly primaryKey: readonly string[];
    }
  | { readonly kind: 'drop_table'; readonly table: string; readonly ifExists: boolean }
  | {
      readonly kind: 'select';
      readonly items: readonly SelectItem[];
      /** Empty without FROM; more than one only for joined system tables. */
      readonly tables: readonly string[];
      readonly where: Expression | undefined;
      readonly orderBy: { readonly column: string; readonly descending: boolean } | undefined;
      readonly limit: number | undefined;
      readonly forUpdate: boolean;
    }
  | {
      readonly kind: 'insert';
      readonly table: string;
      readonly columns: readonly string[];
      readonly rows: readonly (readonly Expression[])[];
    }
  | {
      readonly kind: 'update';
      readonly table: string;
      readonly assignments: readonly { readonly column: string; readonly value: Expression }[];
      readonly where: Expression | undefined;
    }
  | { readonly kind: 'delete'; readonly table: string; readonly where: Expression | undefined }
  | { readonly kind: 'begin' }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'set'; readonly assignments: readonly { name: string; value: Expression }[] }
  | { readonly kind: 'show'; readonly what: string }
  | { readonly kind: 'kill'; readonly connectionId: number }
  | { readonly kind: 'use'; readonly schema: string };
