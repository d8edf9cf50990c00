/**
 * One trial of a promotion that comes late: the primary crashes, and the control machine that calls the platform is stopped or
 * killed at that call, which is held on its way or not yet sent. Meanwhile another control machine leads.
 */
import { pause, until } from '../../review/record.js';
import { configuration, route } from '../../review/site.js';
import { holdCall, stopAtConnection } from './caught_call.js';
import { between, seededRandom } from './random.js';
import { RelayedSite } from './relayed_site.js';
import { Verdicts } from './verdicts.js';
import { Writer } from './writer.js';

const SERVICE = 'citas';
const DATABASE = 'bookings';
const WRITERS = 4;
const PROXIES = 2;
/** Undisturbed writing before the crash. */
const BEFORE_MS = 1500;
/** The first call to the platform comes within this time after the crash of the primary. */
const FIRST_CALL_MS = 12_000;
/** The crashed primary is back this long after the call at the latest. */
const CRASH_MS = 6000;
const RESTART_MS = 300;
/** From the call to the moment at which the instance leads, with a margin. */
const EFFECT_MS = 800;
const CALM_MS = 2000;
/** Time for the group to be written again once everything runs. */
const RECOVERY_MS = 25_000;
const READ_MS = 5000;
const RETRY_MS = 100;
/** A shorter time without an acknowledged write is no outage. */
const OUTAGE_MS = 150;
/** A caller that was held up for longer between its check and its sending was stopped exactly there. */
const LONGEST_SENDING_MS = 100;

export class LatePromotion {
  /**
   * @param {{
   *   at: 'connection' | 'sent',
   *   stopMs?: [number, number],
   *   holdMs?: number,
   *   awayMs?: number
   * }} plan when the leader is stopped, and for how long (killed and started again if left out), how long its call is held, and
   *   how long the chosen instance is away meanwhile if no other one is called (not at all if left out)
   */
  constructor(plan, record, cleanUp, seed) {
    Object.assign(this, { plan, record });
    this.random = seededRandom(seed);
    this.site = new RelayedSite(record, cleanUp, {
      proxies: PROXIES,
      services: { [SERVICE]: ['a', 'b', 'c'] },
    });
    this.verdicts = new Verdicts(this.site);
    if (plan.stopMs) this.stopMs = between(...plan.stopMs, this.random);
  }

  /**
   * Plays the trial; resolves with the rules that were broken and what was measured, or with undefined if the leader was not
   * stopped where it was to be.
   */
  async run() {
    const { site, verdicts } = this;
    await site.start(configuration(1, [route(DATABASE, SERVICE, 'primary')], [SERVICE]));
    site.deployment.forgetFirstStart();
    verdicts.watchPromotions();
    const writers = [...Array(WRITERS).keys()].map(
      (number) => new Writer(site, verdicts, number, DATABASE),
    );
    const running = writers.map((writer) => writer.run());
    await until('writes are acknowledged', FIRST_CALL_MS, () => verdicts.commits.length > WRITERS);
    await pause(BEFORE_MS);
    const crashedAt = performance.now();
    if (!(await this.disturb())) return undefined;
    await pause(CALM_MS);
    await this.checkWrites();
    for (const writer of writers) writer.stop();
    await Promise.all(running);
    await this.checkEnd(writers);
    site.isOver = true;
    if (verdicts.hasLateCalls && this.wasStoppedAtSending) return undefined;
    return { breaks: verdicts.breaks, summary: this.summaryFrom(crashedAt) };
  }

  // ---- disturbance ----

  /** Resolves with whether the leader was stopped where it was to be. */
  async disturb() {
    const former = this.group.primary;
    const stopping = this.stopCaller();
    former.crash();
    const stopped = await stopping;
    if (!stopped) throw new Error(`no call to the platform within ${FIRST_CALL_MS} ms`);
    if (!stopped.isReached) return false;
    this.callerName = stopped.name;
    const restart = this.plan.awayMs ? this.restartChosen(stopped) : undefined;
    const back = this.bringBack(former);
    await Promise.all([this.resume(stopped), restart, back, this.awaitDelivery(stopped)]);
    await pause(EFFECT_MS);
    for (const instance of this.group.instances) instance.isDeaf = false;
    return true;
  }

  /** A stop between the last check and the sending can't be noticed by any process (docs/design/appointed-primaries.md). */
  get wasStoppedAtSending() {
    return this.site.deployment.longestHeldMs(this.callerName) > LONGEST_SENDING_MS;
  }

  get group() {
    return this.site.groups[SERVICE];
  }

  /** The crashed primary comes back once another instance leads, at the latest after {@link CRASH_MS}. */
  async bringBack(former) {
    const latestAt = performance.now() + CRASH_MS;
    const isDue = () => this.group.primary !== undefined || performance.now() > latestAt;
    await until('the crashed primary may come back', CRASH_MS + 1000, isDue);
    await former.start();
  }

  /** Stops or kills the caller of the next call. */
  stopCaller() {
    if (this.plan.at === 'connection') return stopAtConnection(this.site, FIRST_CALL_MS);
    const signal = this.plan.stopMs ? 'SIGSTOP' : 'SIGKILL';
    return holdCall(this.site, { holdMs: this.plan.holdMs, timeoutMs: FIRST_CALL_MS, signal });
  }

  async resume({ name, child, at }) {
    if (!this.plan.stopMs) {
      await pause(RESTART_MS);
      this.site.deployment.start(name);
      return;
    }
    await pause(at + this.stopMs - performance.now());
    child.kill('SIGCONT');
    this.record.note(name, `goes on after ${Math.round(performance.now() - at)} ms`);
  }

  /** Restarts the chosen instance: it is away until another one is called for, and receives nothing for a while after its return. */
  async restartChosen({ instance, at }) {
    const chosen = this.group.find(instance);
    const { awayMs } = this.plan;
    chosen.crash();
    const isOtherCalled = () => this.site.relay.sentCalls.some(({ id }) => id !== instance);
    const isDue = () => performance.now() > at + awayMs || isOtherCalled();
    await until('the chosen instance may come back', awayMs + 1000, isDue);
    chosen.isDeaf = true;
    await chosen.start();
  }

  async awaitDelivery({ call }) {
    if (!call) return;
    await until('delivery of the held call', call.holdMs + 2000, () => call.deliveredAt);
    await pause(EFFECT_MS);
  }

  // ---- checks ----

  async checkWrites() {
    for (let proxy = 0; proxy < PROXIES; proxy++) {
      const text = `WRITE last ${proxy}`;
      if (await this.runLast(proxy, text, RECOVERY_MS)) continue;
      this.verdicts.breaks.push(`RECOVER: not within ${RECOVERY_MS} ms: ${text}`);
    }
  }

  /** Runs a statement, again if it fails; undefined if it does not succeed in time. */
  async runLast(proxy, text, ms) {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
      const answer = await this.site.runAlone('last', proxy, DATABASE, text);
      if (answer.outcome === 'ok') return answer;
      await pause(RETRY_MS);
    }
    return undefined;
  }

  async checkEnd(writers) {
    const { breaks } = this.verdicts;
    this.verdicts.checkCalls();
    const { primary } = this.group;
    if (primary) this.verdicts.checkLog(primary, Infinity, `${primary.id} leads at the end`);
    else breaks.push('RECOVER: no primary at the end');
    for (const { thing, acknowledged } of writers) {
      const answer = await this.runLast(0, `READ ${thing}`, READ_MS);
      const [value] = answer?.rows ?? [];
      if (Number(value) >= acknowledged) continue;
      breaks.push(`LOST: ${thing} reads ${value}, acknowledged was ${acknowledged}`);
    }
    this.verdicts.checkEnds();
  }

  /** Times without an acknowledged write since the crash, longest first, and the calls. */
  summaryFrom(crashedAt) {
    const times = this.verdicts.commits.map(({ at }) => at).sort((left, right) => left - right);
    const gaps = times.map((at, index) => ({ at, ms: at - (times[index - 1] ?? at) }));
    const outages = gaps.filter(({ at, ms }) => at > crashedAt && ms > OUTAGE_MS);
    const longest = outages.map(({ ms }) => Math.round(ms)).sort((left, right) => right - left);
    const calls = this.site.relay.sentCalls.map(({ id, token }) => `${id}/${token}`);
    return `without a primary ${longest.join(' + ')} ms; calls ${calls.join(' ')}; ${this.verdicts.summary}`;
  }
}
