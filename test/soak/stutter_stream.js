/** Fault stream of the soak in which instances begin to answer twice and to refuse statements, and cease again. */
import { pause } from '../../review/record.js';
import { between, seededRandom } from './random.js';

/** Played in turns, from any of them on. */
const FAULTS = [
  { doubled: 0.1, longestMs: 60 },
  { doubled: 0.02, longestMs: 2000 },
  { doubled: 0.2, longestMs: 60 },
  { doubled: 0.1, longestMs: 60, refused: 0.1 },
  { refused: 0.3 },
];
const FAULTY_MS = [500, 3500];
const CALM_MS = [100, 1000];

export class StutterStream {
  constructor(site, state, verdicts, seed) {
    this.pace = site.pace;
    this.random = seededRandom(seed);
  }

  /** Turns faults on and off until a time; resolves with how often. */
  async run(until) {
    const first = between(0, FAULTS.length - 1, this.random);
    let count = 0;
    while (performance.now() < until) {
      await pause(between(...CALM_MS, this.random));
      this.pace.faults = FAULTS[(first + count) % FAULTS.length];
      await pause(between(...FAULTY_MS, this.random));
      this.pace.faults = {};
      count++;
    }
    return count;
  }
}
