/**
 * Finds out when deregistered instances end.
 *
 * An instance may deregister and serve on. Until it ends it receives commits and confirms them to its primary, so its
 * departure counts from its end and not from its deregistration. The leader keeps a connection open to each such instance.
 * When that breaks and nothing listens at the address any more, or another instance does, the instance has ended, which is
 * recorded in the replicated log. A new leader starts anew.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import {
  ConnectError,
  type InstanceConnection,
  type InstanceConnector,
} from '../instance/instance_connection.js';
import { messageOf } from '../../errors/errors.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import type { Proposer } from './appointment_lease.js';
import { incarnationName } from './caught_up_instances.js';
import { targetOf } from './instance_target.js';

/** Interval of checks; a broken connection causes one at once. */
const CHECK_INTERVAL_MS = 500;
const CONNECT_TIMEOUT_MS = 250;
/** A connection is replaced at this age: one to a machine without power does not break. */
const MAX_CONNECTION_AGE_MS = 3000;
/** An instance that can't be reached for this long counts as ended: it serves on for seconds at most. */
const MAX_SILENCE_MS = 60_000;
/** Instances that are connected to at a time. */
const MAX_CONCURRENT_CHECKS = 20;

/** What shows that an instance has ended. */
type EndSign = 'not_listening' | 'another_instance' | 'silent';

const SIGN_OF_FAILURE: Partial<Record<ConnectError['failure'], EndSign>> = {
  notListening: 'not_listening',
  wrongInstance: 'another_instance',
};

interface DepartureContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly connector: InstanceConnector;
  readonly propose: Proposer;
  readonly log: DecisionLog;
  readonly isLeading: () => boolean;
}

/** What this leader knows of one departing instance. */
interface Departure {
  /** When it was first watched, or last reached. */
  reachedAt: number;
  connection: InstanceConnection | undefined;
  isChecking: boolean;
}

/** Departing instances, as one leader sees them. */
export class DepartureMonitor {
  private readonly departures = new Map<string, Departure>();
  private timer: Timer | undefined;
  private stopListening: () => void = () => undefined;

  constructor(private readonly context: DepartureContext) {}

  /** Starts to watch departing instances; watches none while this machine does not lead. */
  start(): void {
    this.stopListening = this.context.catalog.onChange(() => this.checkAll());
    this.scheduleCheck();
  }

  stop(): void {
    this.stopListening();
    this.timer?.cancel();
    this.forgetAllExcept(new Set());
  }

  /** Whether an instance has deregistered and still serves. */
  isServing(instance: InstanceEntry): boolean {
    const connection = this.departures.get(incarnationName(instance))?.connection;
    return connection !== undefined && !connection.closed;
  }

  /** Checks all departing instances. */
  checkAll(): void {
    const { catalog, isLeading } = this.context;
    const departing = isLeading() ? catalog.departingInstances : [];
    this.forgetAllExcept(new Set(departing.map(incarnationName)));
    for (const instance of departing) this.checkIfDue(instance);
  }

  private scheduleCheck(): void {
    this.timer = this.context.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.checkAll();
      this.scheduleCheck();
    });
  }

  private checkIfDue(instance: InstanceEntry): void {
    const now = this.context.clock.now();
    const departure = this.departureOf(instance, now);
    const isConnected = this.isServing(instance);
    const isDue = !isConnected || now - departure.reachedAt >= MAX_CONNECTION_AGE_MS;
    if (!isDue || departure.isChecking || this.checkCount >= MAX_CONCURRENT_CHECKS) return;
    departure.isChecking = true;
    void this.check(instance, departure).finally(() => (departure.isChecking = false));
  }

  private get checkCount(): number {
    return [...this.departures.values()].filter(({ isChecking }) => isChecking).length;
  }

  private departureOf(instance: InstanceEntry, now: number): Departure {
    const name = incarnationName(instance);
    let departure = this.departures.get(name);
    if (!departure) {
      departure = { reachedAt: now, connection: undefined, isChecking: false };
      this.departures.set(name, departure);
    }
    return departure;
  }

  /** Connects to an instance; keeps the connection, or records that the instance has ended. */
  private async check(instance: InstanceEntry, departure: Departure): Promise<void> {
    const { connector, clock } = this.context;
    try {
      const { connection } = await connector.connect(targetOf(instance), CONNECT_TIMEOUT_MS);
      disconnect(departure);
      if (!this.isWatched(instance, departure)) {
        connection.close();
        return;
      }
      departure.connection = connection;
      departure.reachedAt = clock.now();
      connection.onClosed = () => this.checkIfDue(instance);
    } catch (error) {
      disconnect(departure);
      const sign = this.endSignOf(error, departure);
      if (sign) await this.recordEnd(instance, sign);
    }
  }

  /** What a failed connection shows; undefined if the instance may still serve. */
  private endSignOf(error: unknown, departure: Departure): EndSign | undefined {
    const now = this.context.clock.now();
    const failure = error instanceof ConnectError ? error.failure : 'silent';
    if (failure === 'busy' || failure === 'connectionLimit') departure.reachedAt = now;
    const isSilentTooLong = now - departure.reachedAt > MAX_SILENCE_MS;
    return SIGN_OF_FAILURE[failure] ?? (isSilentTooLong ? 'silent' : undefined);
  }

  private async recordEnd(instance: InstanceEntry, sign: EndSign): Promise<void> {
    const { id, incarnation, group } = instance;
    const { propose, log, isLeading } = this.context;
    if (!isLeading()) return;
    try {
      const { changed } = await propose({ endInstance: { instance: id, incarnation } });
      if (changed) log(Events.instanceEnded, { instance: id ?? '', group: group ?? '', sign });
    } catch (error) {
      // The next check, by this leader or the next one, finds the same.
      const reason = messageOf(error);
      log(Events.catalogChangeFailed, {
        request: 'endInstance',
        instance: id ?? '',
        version: 0,
        zone: '',
        reason,
      });
    }
  }

  private isWatched(instance: InstanceEntry, departure: Departure): boolean {
    return this.departures.get(incarnationName(instance)) === departure;
  }

  private forgetAllExcept(names: ReadonlySet<string>): void {
    for (const [name, departure] of this.departures) {
      if (names.has(name)) continue;
      this.departures.delete(name);
      disconnect(departure);
    }
  }
}

/** Closes the connection to an instance without a check of why it closed. */
function disconnect(departure: Departure): void {
  const { connection } = departure;
  departure.connection = undefined;
  if (!connection) return;
  connection.onClosed = undefined;
  connection.close();
}
