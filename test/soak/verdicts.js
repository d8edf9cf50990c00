/** What callers of the soak were told, and the rules checked against it. */
import { pause, until } from '../../review/record.js';
import { isBefore } from './answer_terms.js';
import { PlannedStopLog } from './planned_stop_log.js';

/** Time for a proxy to serve again after the last fault. */
const RECOVERY_MS = 12_000;

export class Verdicts {
  constructor(site) {
    this.site = site;
    this.breaks = [];
    /** Acknowledged commits: service, request of the commit, when. */
    this.commits = [];
    /** Newest acknowledged commit of the session that writes a thing, by service. */
    this.newestByThing = new Map();
    this.reads = 0;
    /** Processes that are being stopped, killed or frozen. */
    this.stopping = new Set();
    this.plannedStops = new PlannedStopLog();
  }

  get summary() {
    const promotions = this.site.platform.promotions.length;
    const { summary } = this.plannedStops;
    return `${this.commits.length} commits, ${this.reads} reads, ${promotions} promotions, ${summary}`;
  }

  /** A session must see its own commits; it is promised nothing of earlier ones. */
  beginSession(thing) {
    this.newestByThing.set(thing, new Map());
  }

  acknowledge(thing, { id, position }, writeId = id) {
    const service = this.serviceOf(writeId);
    if (!service) {
      this.breaks.push(`MIXED: ${id} was acknowledged, and no instance ran it`);
      return;
    }
    this.commits.push({ service, id, at: performance.now() });
    this.newestByThing.get(thing).set(service, { id, position });
  }

  /** Newest commit of the session in each service. */
  newestOf(thing) {
    return new Map(this.newestByThing.get(thing));
  }

  /**
   * A read runs on a log with the session's own commits that were acknowledged before it was sent. Positions are compared and
   * not values: a commit that an earlier session left in doubt may follow in the log.
   */
  checkRead({ id }, newest) {
    this.reads++;
    const service = this.serviceOf(id);
    if (!service) {
      this.breaks.push(`MIXED: ${id} was answered, and no instance ran it`);
      return;
    }
    const commit = newest.get(service);
    const run = this.site.groups[service].runs.findLast((item) => item.id === id);
    if (!commit || !isBefore(run.applied, commit.position)) return;
    this.breaks.push(
      `STALE: ${id} ran on ${run.instance} at ${run.applied} after ${commit.id} at ${commit.position}`,
    );
  }

  /** A request was sent, and its connection ended without a whole answer. */
  addCut(proxy, { closedAt }, { id, text, sentAt }) {
    const name = `front-${proxy + 1}`;
    const ms = Math.round(closedAt - sentAt);
    this.site.record.note(name, `${id} ${text}: closed after ${ms} ms without a whole answer`);
    this.plannedStops.addCut({ name, id, text, sentAt, closedAt });
  }

  /** No request is cut off by the planned stop of a proxy. */
  checkPlannedStops() {
    const wasReceived = (id) => this.site.pace.receivedIds.has(id);
    this.breaks.push(...this.plannedStops.breaks(wasReceived));
  }

  /** Checks each promotion at the moment at which it takes effect. */
  watchPromotions() {
    const { platform } = this.site;
    const takeEffect = platform.takeEffect.bind(platform);
    platform.takeEffect = (instance) => {
      const before = platform.promotions.length;
      const at = performance.now();
      takeEffect(instance);
      if (platform.promotions.length === before) return;
      this.checkLog(instance, at, `${instance.id} was promoted`);
    };
  }

  checkLog(instance, at, what) {
    const held = new Set(instance.log.map(({ request }) => request));
    const lost = this.commits.filter(
      (commit) =>
        commit.service === instance.group.service && commit.at < at && !held.has(commit.id),
    );
    if (lost.length > 0) {
      this.breaks.push(`LOST: ${what} without ${lost.length} commits, first ${lost[0].id}`);
    }
  }

  /** After the calm end every proxy serves writes, all logs are whole, and no process has ended by itself. */
  async checkEnd(proxies) {
    const { site } = this;
    for (const [service, group] of Object.entries(site.groups)) {
      if (group.primary)
        this.checkLog(group.primary, Infinity, `${group.primary.id} leads at the end`);
      else this.breaks.push(`RECOVER: ${service} has no primary`);
    }
    for (let proxy = 0; proxy < proxies; proxy++) {
      for (const database of ['bookings', 'payments', 'agenda']) {
        const write = async () => {
          const text = `WRITE end-${proxy} done`;
          const { outcome } = await site.runAlone('reader-end', proxy, database, text);
          if (outcome !== 'ok') await pause(200);
          return outcome === 'ok';
        };
        const what = `proxy ${proxy + 1} writes to ${database}`;
        await until(what, RECOVERY_MS, write).catch(() => this.breaks.push(`RECOVER: not ${what}`));
      }
    }
    this.checkEnds();
  }

  /** Whether a call was sent under a lower token after one under a higher token. */
  get hasLateCalls() {
    return this.site.relay.lateCalls.length > 0;
  }

  /** No process calls the platform once another one holds the appointment lease, that is, under a higher token. */
  checkCalls() {
    for (const call of this.site.relay.lateCalls) {
      const heldMs = this.site.deployment.longestHeldMs(call.holder);
      const details = `its process waited at most ${heldMs} ms between a check and its sending`;
      this.breaks.push(
        `AUTHORITY: sent under a lower token after a higher one: ${call.description}; ${details}`,
      );
    }
  }

  /** A process that was told to stop ends without an error, and not at a second signal. */
  checkPlannedEnd(name, { exitCode, signalCode }) {
    if (exitCode !== 0) this.breaks.push(`FAULT: ${name} ended with ${exitCode ?? signalCode}`);
  }

  checkEnds() {
    for (const line of this.site.record.lines) {
      if (line.includes('ended by itself')) this.breaks.push(`FAULT: ${line.trim()}`);
    }
  }

  serviceOf(id) {
    const found = Object.entries(this.site.groups).find(([, group]) =>
      group.runs.some((run) => run.id === id),
    );
    return found?.[0];
  }
}
