/**
 * Positions and session tokens: guards against an inconsistent order, lossy text forms, and tokens that move backwards.
 */
import fc from 'fast-check';
import t from 'tap';
import {
  type Position,
  comparePositions,
  covers,
  formatPosition,
  latest,
  parsePosition,
} from '../../src/positions/position.js';
import { SessionToken } from '../../src/mysql/session/token.js';

const positions: fc.Arbitrary<Position> = fc.record({
  term: fc.nat({ max: 1000 }),
  sequence: fc.nat({ max: 1_000_000 }),
});
const groups = fc.constantFrom('appointments', 'payments', 'bookings');

void t.test('a higher term outranks any sequence number', (t) => {
  t.ok(covers({ term: 2, sequence: 1 }, { term: 1, sequence: 99 }));
  t.notOk(covers({ term: 1, sequence: 99 }, { term: 2, sequence: 1 }));
  t.end();
});

void t.test('comparison is antisymmetric and the later of two positions covers both', (t) => {
  fc.assert(
    fc.property(positions, positions, (left, right) => {
      const newest = latest(left, right);
      const isConsistent = comparePositions(left, right) === -comparePositions(right, left);
      return (isConsistent || left === right) && covers(newest, left) && covers(newest, right);
    }),
    { seed: 1 },
  );
  t.end();
});

void t.test('a position survives formatting and parsing, and malformed text is rejected', (t) => {
  fc.assert(
    fc.property(positions, (position) => {
      t.same(parsePosition(formatPosition(position)), position);
    }),
    { seed: 2 },
  );
  t.equal(parsePosition('7'), undefined);
  t.equal(parsePosition('1-2-3'), undefined);
  t.equal(parsePosition('-1-2'), undefined);
  t.end();
});

void t.test('advancing or merging tokens never moves a position backwards', (t) => {
  const steps = fc.array(fc.tuple(groups, positions), { maxLength: 20 });
  fc.assert(
    fc.property(steps, steps, (left, right) => {
      const build = (list: [string, Position][]): SessionToken =>
        list.reduce<SessionToken>(
          (token, [group, position]) => token.advance(group, position),
          SessionToken.empty,
        );
      const merged = SessionToken.parse(build(left).format())!.merge(build(right));
      return [...left, ...right].every(([group, position]) =>
        covers(merged.positionOf(group), position),
      );
    }),
    { seed: 3 },
  );
  t.end();
});

void t.test('a malformed entry makes the whole token invalid', (t) => {
  t.equal(SessionToken.parse('appointments'), undefined);
  t.equal(SessionToken.parse('appointments:1-2,payments'), undefined);
  t.equal(SessionToken.parse('appointments:x-2'), undefined);
  t.equal(SessionToken.parse(''), SessionToken.empty);
  t.end();
});
