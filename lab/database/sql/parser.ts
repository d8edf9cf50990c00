/** Recursive-descent parser for the SQL subset of the emulated database. */
import { DatabaseError } from '../../../src/errors/errors.js';
import { type Token, tokenize } from '../../../src/mysql/sql/tokenizer.js';
import type { ColumnDefinition, Expression, SelectItem, Statement } from './syntax.js';

const ER_PARSE_ERROR = 1064;
const COMPARISONS = new Set(['=', '<', '>', '<=', '>=', '<>', '!=']);

const CACHED_STATEMENTS = 256;
const cache = new Map<string, Statement>();

/** Parses one statement; throws a MySQL syntax error on anything else. Repeated texts are remembered. */
export function parseStatement(sql: string): Statement {
  const known = cache.get(sql);
  if (known) return known;
  const statement = new Parser(tokenize(sql)).statement();
  if (cache.size >= CACHED_STATEMENTS) cache.delete(cache.keys().next().value ?? '');
  cache.set(sql, statement);
  return statement;
}

class Parser {
  private offset = 0;

  constructor(private readonly tokens: readonly Token[]) {}

  statement(): Statement {
    const statement = this.statementBody();
    this.acceptSymbol(';');
    if (this.offset < this.tokens.length) throw this.error();
    return statement;
  }

  private statementBody(): Statement {
    const keyword = this.word();
    switch (keyword) {
      case 'SELECT':
        return this.select();
      case 'INSERT':
        return this.insert();
      case 'UPDATE':
        return this.update();
      case 'DELETE':
        return this.delete();
      case 'CREATE':
        return this.createTable();
      case 'DROP':
        return this.dropTable();
      case 'SET':
        return this.set();
      case 'USE':
        return { kind: 'use', schema: this.name() };
      case 'SHOW':
        return { kind: 'show', what: this.rest() };
      case 'KILL':
        return { kind: 'kill', connectionId: Number(this.next().text) };
      default:
        return this.transactionControl(keyword);
    }
  }

  private transactionControl(keyword: string): Statement {
    switch (keyword) {
      case 'BEGIN':
        return { kind: 'begin' };
      case 'START':
        this.expectWord('TRANSACTION');
        this.rest();
        return { kind: 'begin' };
      case 'COMMIT':
        return { kind: 'commit' };
      case 'ROLLBACK':
        return { kind: 'rollback' };
      default:
        throw this.error();
    }
  }

  private select(): Statement {
    const items = this.list(() => this.selectItem());
    const tables = this.acceptWord('FROM') ? this.tableReferences() : [];
    const where = this.acceptWord('WHERE') ? this.expression() : undefined;
    const orderBy = this.acceptWord('ORDER') ? this.orderBy() : undefined;
    const limit = this.acceptWord('LIMIT') ? Number(this.next().text) : undefined;
    const forUpdate = this.acceptWord('FOR');
    if (forUpdate && !this.acceptWord('UPDATE')) this.expectWord('SHARE');
    return { kind: 'select', items, tables, where, orderBy, limit, forUpdate };
  }

  private selectItem(): SelectItem {
    const start = this.offset;
    const expression = this.expression();
    const text = this.tokens
      .slice(start, this.offset)
      .map((token) => token.raw)
      .join('');
    const explicit = this.acceptWord('AS');
    if (explicit || this.peek()?.kind === 'quoted_name') {
      return { expression, alias: this.name() };
    }
    return { expression, alias: expression.kind === 'column' ? expression.name : text };
  }

  private tableReferences(): string[] {
    const tables = [this.tableReference()];
    while (this.acceptWord('JOIN')) {
      tables.push(this.tableReference());
      this.expectWord('USING');
      this.expectSymbol('(');
      this.name();
      this.expectSymbol(')');
    }
    return tables;
  }

  private tableReference(): string {
    const table = this.tableName();
    if (this.acceptWord('AS')) this.name();
    return table;
  }

  private orderBy(): { column: string; descending: boolean } {
    this.expectWord('BY');
    const column = this.columnName();
    const descending = this.acceptWord('DESC');
    if (!descending) this.acceptWord('ASC');
    return { column, descending };
  }

  private insert(): Statement {
    this.expectWord('INTO');
    const table = this.tableName();
    this.expectSymbol('(');
    const columns = this.list(() => this.name());
    this.expectSymbol(')');
    this.expectWord('VALUES');
    const rows = this.list(() => {
      this.expectSymbol('(');
      const row = this.list(() => this.expression());
      this.expectSymbol(')');
      return row;
    });
    return { kind: 'insert', table, columns, rows };
  }

  private update(): Statement {
    const table = this.tableName();
    this.expectWord('SET');
    const assignments = this.list(() => {
      const column = this.columnName();
      this.expectSymbol('=');
      return { column, value: this.expression() };
    });
    const where = this.acceptWord('WHERE') ? this.expression() : undefined;
    return { kind: 'update', table, assignments, where };
  }

  private delete(): Statement {
    this.expectWord('FROM');
    const table = this.tableName();
    const where = this.acceptWord('WHERE') ? this.expression() : undefined;
    return { kind: 'delete', table, where };
  }

  private createTable(): Statement {
    this.expectWord('TABLE');
    const ifNotExists = this.acceptWord('IF');
    if (ifNotExists) {
      this.expectWord('NOT');
      this.expectWord('EXISTS');
    }
    const table = this.tableName();
    const columns: ColumnDefinition[] = [];
    let primaryKey: string[] = [];
    this.expectSymbol('(');
    this.list(() => {
      if (this.acceptWord('PRIMARY')) {
        this.expectWord('KEY');
        this.expectSymbol('(');
        primaryKey = this.list(() => this.name());
        this.expectSymbol(')');
        return;
      }
      const { column, isPrimaryKey } = this.columnDefinition();
      columns.push(column);
      if (isPrimaryKey) primaryKey = [column.name];
    });
    this.expectSymbol(')');
    return { kind: 'create_table', table, ifNotExists, columns, primaryKey };
  }

  private columnDefinition(): { column: ColumnDefinition; isPrimaryKey: boolean } {
    const name = this.name();
    const type = this.word();
    let autoIncrement = false;
    let isPrimaryKey = false;
    for (let token = this.peek(); token; token = this.peek()) {
      if (token.text === ',' || token.text === ')') break;
      if (token.text === '(') {
        this.skipParentheses();
        continue;
      }
      autoIncrement ||= token.text === 'AUTO_INCREMENT';
      isPrimaryKey ||= token.text === 'PRIMARY';
      this.offset++;
    }
    return { column: { name, type, autoIncrement }, isPrimaryKey };
  }

  private skipParentheses(): void {
    this.expectSymbol('(');
    while (!this.acceptSymbol(')')) this.next();
  }

  private dropTable(): Statement {
    this.expectWord('TABLE');
    const ifExists = this.acceptWord('IF');
    if (ifExists) this.expectWord('EXISTS');
    return { kind: 'drop_table', table: this.tableName(), ifExists };
  }

  private set(): Statement {
    const assignments = this.list(() => {
      for (const scope of ['SESSION', 'GLOBAL', 'LOCAL']) this.acceptWord(scope);
      const token = this.next();
      if (token.text === 'NAMES') return { name: 'names', value: this.expression() };
      if (!this.acceptSymbol('=')) this.expectSymbol(':=');
      return { name: token.raw.toLowerCase(), value: this.expression() };
    });
    return { kind: 'set', assignments };
  }

  private expression(): Expression {
    let left = this.conjunction();
    while (this.acceptWord('OR')) {
      left = { kind: 'binary', operator: 'OR', left, right: this.conjunction() };
    }
    return left;
  }

  private conjunction(): Expression {
    let left = this.comparison();
    while (this.acceptWord('AND')) {
      left = { kind: 'binary', operator: 'AND', left, right: this.comparison() };
    }
    return left;
  }

  private comparison(): Expression {
    const left = this.sum();
    const token = this.peek();
    if (token && COMPARISONS.has(token.text) && token.kind === 'symbol') {
      this.offset++;
      return { kind: 'binary', operator: token.text, left, right: this.sum() };
    }
    if (this.acceptWord('BETWEEN')) return this.between(left);
    if (this.acceptWord('IN')) return this.inList(left);
    if (!this.acceptWord('IS')) return left;
    const negated = this.acceptWord('NOT');
    this.expectWord('NULL');
    return { kind: 'is_null', operand: left, negated };
  }

  private between(operand: Expression): Expression {
    const low = this.sum();
    this.expectWord('AND');
    const high = this.sum();
    return {
      kind: 'binary',
      operator: 'AND',
      left: { kind: 'binary', operator: '>=', left: operand, right: low },
      right: { kind: 'binary', operator: '<=', left: operand, right: high },
    };
  }

  private inList(operand: Expression): Expression {
    this.expectSymbol('(');
    const choices = this.list(() => this.expression());
    this.expectSymbol(')');
    return { kind: 'in', operand, choices };
  }

  private sum(): Expression {
    let left = this.primary();
    for (let token = this.peek(); token; token = this.peek()) {
      if (token.kind !== 'symbol' || !['+', '-', '*'].includes(token.text)) break;
      this.offset++;
      left = { kind: 'binary', operator: token.text, left, right: this.primary() };
    }
    return left;
  }

  private primary(): Expression {
    const token = this.next();
    switch (token.kind) {
      case 'number':
        return { kind: 'literal', value: Number(token.text) };
      case 'string':
        return { kind: 'literal', value: token.text };
      case 'variable':
        return this.variable(token);
      case 'quoted_name':
        return { kind: 'column', name: this.qualified(token.raw) };
      case 'word':
        return this.wordExpression(token);
      case 'symbol':
        return this.symbolExpression(token);
    }
  }

  private variable(token: Token): Expression {
    if (!token.text.startsWith('@@')) return { kind: 'user_variable', name: token.text };
    const name = token.text.slice(2).replace(/^(session|global)\./, '');
    return { kind: 'system_variable', name };
  }

  private wordExpression(token: Token): Expression {
    if (token.text === 'NULL') return { kind: 'literal', value: null };
    if (token.text === 'TRUE') return { kind: 'literal', value: 1 };
    if (token.text === 'FALSE') return { kind: 'literal', value: 0 };
    if (token.text === 'X' && this.peek()?.kind === 'string') {
      return { kind: 'literal', value: Buffer.from(this.next().text, 'hex') };
    }
    if (this.acceptSymbol('(')) {
      const parameters = this.acceptSymbol(')') ? [] : this.parameters();
      return { kind: 'call', name: token.text, parameters };
    }
    return { kind: 'column', name: this.qualified(token.raw) };
  }

  private parameters(): Expression[] {
    const parameters = this.list(() => this.expression());
    this.expectSymbol(')');
    return parameters;
  }

  private symbolExpression(token: Token): Expression {
    if (token.text === '*') return { kind: 'star' };
    if (token.text === '-') {
      const operand = this.primary();
      return {
        kind: 'binary',
        operator: '-',
        left: { kind: 'literal', value: 0 },
        right: operand,
      };
    }
    if (token.text !== '(') throw this.error();
    const inner = this.expression();
    this.expectSymbol(')');
    return inner;
  }

  /** Drops the qualifier of `table.column`. */
  private qualified(first: string): string {
    return this.acceptSymbol('.') ? this.name() : first;
  }

  private columnName(): string {
    return this.qualified(this.name());
  }

  private tableName(): string {
    const first = this.name();
    return this.acceptSymbol('.') ? `${first}.${this.name()}` : first;
  }

  private list<T>(item: () => T): T[] {
    const items = [item()];
    while (this.acceptSymbol(',')) items.push(item());
    return items;
  }

  private rest(): string {
    const words = this.tokens.slice(this.offset).map((token) => token.text);
    this.offset = this.tokens.length;
    return words.join(' ');
  }

  private peek(): Token | undefined {
    return this.tokens[this.offset];
  }

  private next(): Token {
    const token = this.tokens[this.offset++];
    if (!token) throw this.error();
    return token;
  }

  private word(): string {
    const token = this.next();
    if (token.kind !== 'word') throw this.error();
    return token.text;
  }

  private name(): string {
    const token = this.next();
    if (token.kind !== 'word' && token.kind !== 'quoted_name') throw this.error();
    return token.raw;
  }

  private acceptWord(word: string): boolean {
    const token = this.peek();
    const accepted = token?.kind === 'word' && token.text === word;
    if (accepted) this.offset++;
    return accepted;
  }

  private acceptSymbol(symbol: string): boolean {
    const token = this.peek();
    const accepted = token?.kind === 'symbol' && token.text === symbol;
    if (accepted) this.offset++;
    return accepted;
  }

  private expectWord(word: string): void {
    if (!this.acceptWord(word)) throw this.error();
  }

  private expectSymbol(symbol: string): void {
    if (!this.acceptSymbol(symbol)) throw this.error();
  }

  private error(): DatabaseError {
    const near = this.tokens
      .slice(Math.max(0, this.offset - 1), this.offset + 4)
      .map((token) => token.raw)
      .join(' ');
    return new DatabaseError(`You have an error in your SQL syntax near '${near}'`, {
      code: ER_PARSE_ERROR,
      sqlState: '42000',
    });
  }
}
