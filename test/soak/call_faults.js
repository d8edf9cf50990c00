/**
 * Faults of the soak that strike calls to the platform: calls that are delivered late, callers that are stopped or killed at a
 * call. They come one after the other, beside the streams of other faults.
 */
import { pause, until } from '../../review/record.js';
import { holdCall, stopAtConnection } from './caught_call.js';
import { between, seededRandom } from './random.js';

/** Together with the time until an instance leads, shorter than the time after which control takes a call as without effect. */
const HOLD_MS = [500, 9000];
const STOP_MS = [300, 3000];
const RESTART_MS = 300;
const LONGEST_PAUSE_MS = 400;
/** Share of the calls that are struck at their connection, and shares of the others by what happens to the caller. */
const AT_CONNECTION = 0.4;
const STOPPED = 0.4;
const KILLED = 0.15;
/** Share of the calls that are delivered late, if their caller is struck once they are sent. */
const HELD = 0.7;

export class CallFaults {
  constructor(site, verdicts, seed) {
    Object.assign(this, { site, verdicts });
    this.random = seededRandom(seed);
  }

  /** Strikes calls until a time; resolves with their number once every caller runs again and every held call was delivered. */
  async run(endAt) {
    const deliveries = [];
    let count = 0;
    while (performance.now() < endAt) {
      const struck = await this.strikeNext(endAt - performance.now());
      if (!struck) break;
      count++;
      await this.bringBack(struck);
      if (struck.call) deliveries.push(this.awaitDelivery(struck.call));
      await pause(this.random() * LONGEST_PAUSE_MS);
    }
    await Promise.all(deliveries);
    return count;
  }

  /** Strikes the next call; undefined if none comes in time. */
  async strikeNext(timeoutMs) {
    const choice = this.random();
    if (choice < AT_CONNECTION) {
      const isHolderStopped = this.random() < 0.5;
      const stopped = await stopAtConnection(this.site, timeoutMs, isHolderStopped);
      return stopped && { ...stopped, signal: 'SIGSTOP' };
    }
    const signal = this.signalFor(this.random());
    const isHeld = this.random() < HELD || !signal;
    const holdMs = isHeld ? between(...HOLD_MS, this.random) : 0;
    const held = await holdCall(this.site, { holdMs, timeoutMs, signal });
    return held && { ...held, signal };
  }

  signalFor(choice) {
    if (choice < STOPPED) return 'SIGSTOP';
    return choice < STOPPED + KILLED ? 'SIGKILL' : undefined;
  }

  /** A caller that other faults have replaced meanwhile is left as it is. */
  async bringBack({ name, child, signal, at }) {
    const { deployment, record } = this.site;
    if (signal === 'SIGKILL') {
      await pause(RESTART_MS);
      if (!deployment.processes.has(name) && !this.verdicts.stopping.has(name))
        deployment.start(name);
    }
    if (signal !== 'SIGSTOP') return;
    await pause(between(...STOP_MS, this.random));
    child?.kill('SIGCONT');
    record.note(name, `goes on after ${Math.round(performance.now() - at)} ms`);
  }

  awaitDelivery(call) {
    return until('delivery of a held call', HOLD_MS[1] + 2000, () => call.deliveredAt);
  }
}
