/** The planned stops of proxies in a soak, and the requests whose connection ended without a whole answer. */
import { isLost } from './stop_ledger.js';

export class PlannedStopLog {
  constructor() {
    this.stops = [];
    this.cuts = [];
  }

  /** A process got SIGTERM. It counts until it has ended, unless it is killed before its grace period is over. */
  begin(name) {
    const stop = { name, at: performance.now(), endedAt: Infinity, isKilled: false };
    this.stops.push(stop);
    return stop;
  }

  end(stop, { isKilled }) {
    Object.assign(stop, { endedAt: performance.now(), isKilled });
  }

  addCut(cut) {
    this.cuts.push(cut);
  }

  /** Numbers of the proxies that are being stopped, from 0 on. */
  get stoppingProxies() {
    const names = this.stops.filter(({ endedAt }) => endedAt === Infinity).map(({ name }) => name);
    return names
      .filter((name) => name.startsWith('front-'))
      .map((name) => Number(name.slice('front-'.length)) - 1);
  }

  get summary() {
    const whole = this.stops.filter(({ name, isKilled }) => name.startsWith('front-') && !isKilled);
    return `${whole.length} proxies stopped`;
  }

  /**
   * Requests that were cut off by a planned stop, though an instance had received them or the process had had the time to read them.
   */
  breaks(wasReceived) {
    const lost = this.cuts.filter((cut) => {
      const wasStopping = this.stops.some((stop) => isWithin(cut, stop));
      return wasStopping && isLost({ ...cut, wasReceived: wasReceived(cut.id) });
    });
    return lost.map(({ name, id, text, sentAt, closedAt }) => {
      const where = wasReceived(id) ? 'an instance received it' : 'no instance received it';
      const ms = Math.round(closedAt - sentAt);
      return `LOST: ${name} stops, and ${id} ${text} is closed after ${ms} ms without a whole answer; ${where}`;
    });
  }
}

/** Whether a connection ended in the course of a stop. */
function isWithin({ name, closedAt }, stop) {
  return stop.name === name && !stop.isKilled && stop.at <= closedAt && closedAt <= stop.endedAt;
}
