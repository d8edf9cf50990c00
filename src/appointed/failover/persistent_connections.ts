/**
 * Connections of the leader that stay open to each instance which reports its start time.
 *
 * A restarted process can't continue a connection of its predecessor, so an answer on a persistent connection comes from the
 * process that was there when it opened. A broken connection is reopened at the next check, and is evidence only from then
 * on.
 */
import type { Catalog } from '../catalog/catalog.js';
import type {
  InstanceConnection,
  InstanceConnector,
  InstanceTarget,
} from '../instance/instance_connection.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import { targetOf } from './instance_target.js';

/** Interval of checks for missing connections. */
const CHECK_INTERVAL_MS = 500;
const CONNECT_TIMEOUT_MS = 500;

export interface PersistentConnection {
  readonly connection: InstanceConnection;
  /** Time by which it was open. */
  readonly openedAt: number;
}

interface PersistentConnectionsContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly connector: InstanceConnector;
  readonly isLeading: () => boolean;
}

export class PersistentConnections {
  private readonly connections = new Map<string, PersistentConnection>();
  private readonly opening = new Set<string>();
  private timer: Timer | undefined;

  constructor(private readonly context: PersistentConnectionsContext) {}

  /** Starts to keep connections open; keeps none while this machine does not lead. */
  start(): void {
    this.timer = this.context.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.reconcile();
      this.start();
    });
  }

  /** Closes all connections. */
  stop(): void {
    this.timer?.cancel();
    this.closeAllExcept(new Map());
  }

  /** Connection to an instance; undefined while there is none. */
  of(target: InstanceTarget): PersistentConnection | undefined {
    const persistent = this.connections.get(keyOf(target));
    return persistent?.connection.closed ? undefined : persistent;
  }

  private reconcile(): void {
    const wanted = new Map<string, InstanceTarget>();
    if (this.context.isLeading()) {
      const { presentInstances, departingInstances } = this.context.catalog;
      for (const instance of [...presentInstances, ...departingInstances]) {
        const target = targetOf(instance);
        if (instance.born) wanted.set(keyOf(target), target);
      }
    }
    this.closeAllExcept(wanted);
    for (const [key, target] of wanted) {
      if (!this.connections.has(key) && !this.opening.has(key)) void this.openTo(key, target);
    }
  }

  private closeAllExcept(wanted: ReadonlyMap<string, InstanceTarget>): void {
    for (const [key, { connection }] of this.connections) {
      if (wanted.has(key) && !connection.closed) continue;
      this.connections.delete(key);
      connection.close();
    }
  }

  private async openTo(key: string, target: InstanceTarget): Promise<void> {
    const { connector, clock } = this.context;
    this.opening.add(key);
    try {
      const { connection } = await connector.connect(target, CONNECT_TIMEOUT_MS);
      this.connections.set(key, { connection, openedAt: clock.now() });
    } catch {
      // An unreachable instance is retried at the next check; its answers are no evidence until then.
    } finally {
      this.opening.delete(key);
    }
  }
}

function keyOf({ id, incarnation, address }: InstanceTarget): string {
  return `${id}/${incarnation ?? 0}@${address}`;
}
