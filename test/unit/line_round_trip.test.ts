/** Guards against a message that means something else to its reader than to its writer, and a prepared name that means two shapes. */
import fc from 'fast-check';
import t from 'tap';
import { LINE_PROPERTIES } from '../tools/line_properties.js';

const SEED = 61;
const CASES = 3000;

for (const [name, property] of Object.entries(LINE_PROPERTIES)) {
  void t.test(name, (t) => {
    fc.assert(property, { seed: SEED, numRuns: CASES });
    t.end();
  });
}
