/** Texts that callers may send and that look like something else. */
import { between, pick } from './random.js';

/** Parts of messages, and bytes that are no end of a line on their own. */
const PIECES = [
  '\n',
  '\r',
  ' ',
  '\n\n',
  'READY I -',
  'COMPLETE -',
  'ROW x',
  'ERROR BUSY x',
  'QUERY - COMMIT',
  'QUERY x WRITE me x',
  'TERMINATE',
];
const LONGEST_PIECES = 5;

/** Shapes without any likeness. */
export const PLAIN_SHAPES = ['find', 'book', 'pay', 'drop'];

/** Shapes of which some continue like the `PREPARE` of another one. */
export const ALIKE_SHAPES = [
  'q2e',
  'q2e WRITE me',
  'me WRITE q2e WRITE me',
  'READ q2e',
  'q2e READ q2e',
  'WRITE',
  'a b',
  'a  b',
  'check',
];

/** Texts that are no statements, although they begin like one. */
export const UNLISTED = [
  'COMMIT now',
  'COMMIT\n',
  'COMMIT ',
  'commit',
  'ROLLBACK now',
  'BEGIN WRITE',
  'BEGIN READ now',
  'WRITE x',
  'READ',
  'SET x',
  'PREPARE x WRITE',
  'DEALLOCATE',
  'STATUS',
  'RESET',
  'STEPDOWN 99',
  'AFTER 1.1 READ x',
];

function oddPiece(random) {
  if (random() < 0.6) return pick(PIECES, random);
  const byte = String.fromCharCode(between(0, 255, random));
  return byte.repeat(between(1, 3, random));
}

/** Some pieces in a row that do not hold the end of a line. */
export function oddText(random) {
  const pieces = [...Array(between(1, LONGEST_PIECES, random))].map(() => oddPiece(random));
  return pieces.join('').replaceAll(/\r(?=\n)/g, ' ');
}
