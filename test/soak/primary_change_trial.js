/**
 * One trial of the change of a primary: clients write all the time to a group whose primary crashes, while a disturbance strikes the
 * control machines. Afterwards every acknowledged commit must be in the log of the primary.
 */
import { pause, until } from '../../review/record.js';
import { configuration, route } from '../../review/site.js';
import { seededRandom } from './random.js';
import { RelayedSite } from './relayed_site.js';
import { Verdicts } from './verdicts.js';
import { Writer } from './writer.js';

const SERVICE = 'citas';
const DATABASE = 'bookings';
const WRITERS = 4;
const PROXIES = 2;
/** Undisturbed writing before the crash. */
const BEFORE_MS = 1500;
const FIRST_WRITE_MS = 12_000;
/** A crashed primary is back after this time at the latest. */
const CRASH_MS = 6000;
const CALM_MS = 2000;
/** Time for the group to be written again once everything runs. */
const RECOVERY_MS = 25_000;
const READ_MS = 5000;
const RETRY_MS = 100;
/** A shorter time without an acknowledged write is no outage. */
const OUTAGE_MS = 150;

export class PrimaryChangeTrial {
  constructor(record, cleanUp, seed) {
    this.record = record;
    this.random = seededRandom(seed);
    this.site = new RelayedSite(record, cleanUp, {
      proxies: PROXIES,
      services: { [SERVICE]: ['a', 'b', 'c'] },
    });
    this.verdicts = new Verdicts(this.site);
  }

  /**
   * Plays the trial; resolves with the rules that were broken and what was measured, or with undefined if the disturbance did not
   * strike where it was to.
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
    await until('writes are acknowledged', FIRST_WRITE_MS, () => verdicts.commits.length > WRITERS);
    await pause(BEFORE_MS);
    if (!(await this.disturb())) return undefined;
    await pause(CALM_MS);
    await this.checkWrites();
    for (const writer of writers) writer.stop();
    await Promise.all(running);
    await this.checkEnd(writers);
    site.isOver = true;
    if (this.wasMissed()) return undefined;
    return { breaks: verdicts.breaks, summary: this.summary };
  }

  /** Causes the disturbance, and resolves with whether it struck where it was to. */
  async disturb() {
    throw new Error('a trial has a disturbance of its own');
  }

  /** Whether the disturbance turned out to have struck elsewhere. */
  wasMissed() {
    return false;
  }

  get group() {
    return this.site.groups[SERVICE];
  }

  /** Crashes the primary; outages are counted from the first crash on that is under examination. */
  crashPrimary() {
    this.crashedAt ??= performance.now();
    const { primary } = this.group;
    primary.crash();
    return primary;
  }

  /** The crashed primary comes back once another instance leads, at the latest after {@link CRASH_MS}. */
  async bringBack(former) {
    const latestAt = performance.now() + CRASH_MS;
    const isDue = () => this.group.primary !== undefined || performance.now() > latestAt;
    await until('the crashed primary may come back', CRASH_MS + 1000, isDue);
    await former.start();
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
  get summary() {
    const times = this.verdicts.commits.map(({ at }) => at).sort((left, right) => left - right);
    const gaps = times.map((at, index) => ({ at, ms: at - (times[index - 1] ?? at) }));
    const outages = gaps.filter(({ at, ms }) => at > this.crashedAt && ms > OUTAGE_MS);
    const longest = outages.map(({ ms }) => Math.round(ms)).sort((left, right) => right - left);
    const calls = this.site.relay.sentCalls.map(({ id, token }) => `${id}/${token}`);
    return `without a primary ${longest.join(' + ')} ms; calls ${calls.join(' ')}; ${this.verdicts.summary}`;
  }
}
