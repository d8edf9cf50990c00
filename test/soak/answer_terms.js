/** Terms of the protocol that the checks of the soak read from answers. */

/** Errors that promise that nothing of an attempt is kept. */
export const PROMISES = ['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'CONNLIMIT'];

/** Code of an error; undefined for any other answer. */
export function codeOf({ outcome, text }) {
  return outcome === 'error' ? text.split(' ')[0] : undefined;
}

/** Whether a position `TERM.NUMBER` is before another one. */
export function isBefore(left, right) {
  const [leftTerm, leftNumber] = left.split('.').map(Number);
  const [rightTerm, rightNumber] = right.split('.').map(Number);
  return leftTerm < rightTerm || (leftTerm === rightTerm && leftNumber < rightNumber);
}
