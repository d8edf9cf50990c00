/** Evaluation of expressions over one row. */
import { DatabaseError } from '../../src/errors/errors.js';
import type { Expression, Value } from './sql/syntax.js';

/** Where an expression finds its names. */
export interface Scope {
  column(name: string): Value;
  systemVariable(name: string): Value;
  userVariable(name: string): Value;
  call(name: string, parameters: readonly Value[]): Value;
}

/** Compares two values as MySQL does for the types of this subset; undefined with a NULL. */
function compareValues(left: Value, right: Value): number | undefined {
  if (left === null || right === null) return undefined;
  if (typeof left === 'number' || typeof right === 'number') return Number(left) - Number(right);
  const leftText = left.toString();
  const rightText = right.toString();
  return leftText < rightText ? -1 : leftText > rightText ? 1 : 0;
}

function truth(value: boolean | undefined): Value {
  return value === undefined ? null : value ? 1 : 0;
}

function isTrue(value: Value): boolean {
  return value !== null && value !== 0 && value !== '' && value !== '0';
}

function compare(operator: string, left: Value, right: Value): Value {
  const order = compareValues(left, right);
  if (order === undefined) return null;
  switch (operator) {
    case '=':
      return truth(order === 0);
    case '<':
      return truth(order < 0);
    case '>':
      return truth(order > 0);
    case '<=':
      return truth(order <= 0);
    case '>=':
      return truth(order >= 0);
    default:
      return truth(order !== 0);
  }
}

function arithmetic(operator: string, left: Value, right: Value): Value {
  if (left === null || right === null) return null;
  const [a, b] = [Number(left), Number(right)];
  if (operator === '+') return a + b;
  return operator === '-' ? a - b : a * b;
}

function evaluateBinary(expression: Extract<Expression, { kind: 'binary' }>, scope: Scope): Value {
  const left = evaluate(expression.left, scope);
  switch (expression.operator) {
    case 'AND':
      return isTrue(left) ? truth(isTrue(evaluate(expression.right, scope))) : 0;
    case 'OR':
      return isTrue(left) ? 1 : truth(isTrue(evaluate(expression.right, scope)));
    case '+':
    case '-':
    case '*':
      return arithmetic(expression.operator, left, evaluate(expression.right, scope));
    default:
      return compare(expression.operator, left, evaluate(expression.right, scope));
  }
}

/** Value of an expression. */
export function evaluate(expression: Expression, scope: Scope): Value {
  switch (expression.kind) {
    case 'literal':
      return expression.value;
    case 'column':
      return scope.column(expression.name);
    case 'system_variable':
      return scope.systemVariable(expression.name);
    case 'user_variable':
      return scope.userVariable(expression.name);
    case 'binary':
      return evaluateBinary(expression, scope);
    case 'is_null':
      return truth((evaluate(expression.operand, scope) === null) !== expression.negated);
    case 'in': {
      const operand = evaluate(expression.operand, scope);
      const matches = expression.choices.some(
        (choice) => compareValues(operand, evaluate(choice, scope)) === 0,
      );
      return truth(matches);
    }
    case 'call':
      return scope.call(
        expression.name,
        expression.parameters.map((parameter) => evaluate(parameter, scope)),
      );
    case 'star':
      throw new DatabaseError("'*' is not allowed here", { code: 1064, sqlState: '42000' });
  }
}

/** Whether a row matches a condition. */
export function matches(condition: Expression | undefined, scope: Scope): boolean {
  return condition === undefined || isTrue(evaluate(condition, scope));
}

/** Value that the condition fixes for a column by `column = constant`, or undefined. */
export function fixedValue(
  condition: Expression | undefined,
  column: string,
  scope: Scope,
): Value | undefined {
  if (condition?.kind !== 'binary') return undefined;
  if (condition.operator === 'AND') {
    return fixedValue(condition.left, column, scope) ?? fixedValue(condition.right, column, scope);
  }
  const { left, right } = condition;
  const isEquality = condition.operator === '=' && left.kind === 'column' && left.name === column;
  if (!isEquality || (right.kind !== 'literal' && right.kind !== 'user_variable')) return undefined;
  return evaluate(right, scope);
}
