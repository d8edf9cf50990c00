/**
 * Connections of the leader that stay open to each instance which tells when it started. A process that starts again can't go
 * on with a connection of the one before, so an answer on such a connection is of the process that was there when it opened.
 *
 * Owns one connection for each such instance, while this machine leads. Relies on the instances: a connection that breaks is
 * opened again at the next look, and vouches from then on only.
 */
import type { Catalog } from '../catalog/catalog.js';
import type {
  InstanceConnection,
  InstanceConnector,
  InstanceTarget,
} from '../instance/instance_connection.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import { targetOf } from './instance_target.js';

/** Time between two looks at what is missing, in milliseconds. A guess, not measured. */
const CHECK_INTERVAL_MS = 500;
/** Time to open a connection, in milliseconds. A guess, not measured. */
const CONNECT_TIMEOUT_MS = 500;

/** An open connection. */
export interface PersistentConnection {
  readonly connection: InstanceConnection;
  /** When it was open at the latest. */
  readonly openedAt: number;
}

/** What is needed of the leader. */
interface PersistentConnectionsContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly connector: InstanceConnector;
  readonly isLeading: () => boolean;
}

/** Connections of one leader. */
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

  /** Ends all connections. */
  stop(): void {
    this.timer?.cancel();
    this.closeAllExcept(new Map());
  }

  /** The connection to an instance; undefined while there is none. */
  of(target: InstanceTarget): PersistentConnection | undefined {
    const persistent = this.connections.get(keyOf(target));
    return persistent?.connection.closed ? undefined : persistent;
  }

  private reconcile(): void {
    const wanted = new Map<string, InstanceTarget>();
    if (this.context.isLeading()) {
      for (const instance of this.context.catalog.presentInstances) {
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
      // An instance that can't be reached is tried at the next look; its answers vouch for nothing until then.
    } finally {
      this.opening.delete(key);
    }
  }
}

function keyOf({ id, incarnation, address }: InstanceTarget): string {
  return `${id}/${incarnation ?? 0}@${address}`;
}
