/**
 * Fuzzer of the line protocol: runs the properties of test/tools/line_properties.ts, as they are compiled, on random streams for a
 * given time. Usage: node test/soak/message_fuzzer.js --seed N --seconds S
 */
import { parseArgs } from 'node:util';
import fc from 'fast-check';

const PROPERTIES_FILE = new URL('../../dist/test/tools/line_properties.js', import.meta.url);
// Imported by its address, since the compiler takes a file that it imports by name for one of its own.
const { LINE_PROPERTIES } = await import(PROPERTIES_FILE.href);

/** Cases of each property in one round. */
const CASES = 500;

/** Runs one property; returns how it failed, or undefined. */
function failureOf(property, seed) {
  const result = fc.check(property, { seed, numRuns: CASES });
  return result.failed ? fc.defaultReportMessage(result) : undefined;
}

/** Runs all properties until the time is over; resolves with the number of properties that failed. */
function fuzz(seed, seconds) {
  const endAt = Date.now() + seconds * 1000;
  const failed = new Set();
  let rounds = 0;
  for (; rounds === 0 || Date.now() < endAt; rounds++) {
    for (const [name, property] of Object.entries(LINE_PROPERTIES)) {
      const failure = failed.has(name) ? undefined : failureOf(property, seed + rounds);
      if (failure === undefined) continue;
      failed.add(name);
      console.log(`DIFFERENCE: ${name}\n${failure}`);
    }
  }
  const properties = Object.keys(LINE_PROPERTIES).length;
  console.log(`seed ${seed}: ${rounds} rounds of ${CASES} cases of ${properties} properties,`);
  console.log(`${failed.size} properties failed`);
  return failed.size;
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '5' },
  },
});
process.exitCode = fuzz(Number(values.seed), Number(values.seconds)) > 0 ? 1 : 0;
