/**
 * Decides whether an instance that control hears of for the first time is really at the address that it tells. A heartbeat
 * may be delayed by seconds: its sender may have crashed meanwhile, and another instance may have its address. The one at
 * the address is then asked; a late heartbeat must not end an instance that is alive.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import type { InstanceMonitor } from '../failover/instance_monitor.js';
import { targetOf } from '../failover/instance_administrator.js';
import { ConnectError, type InstanceConnector } from '../instance/instance_connection.js';
import type { Clock } from '../../runtime/runtime.js';

/** Whether the newcomer has the address. */
export type ClaimOutcome = 'granted' | 'refused' | 'unclear';

/**
 * A holder of the address that was silent for longer is gone, in milliseconds: instances tell themselves about every 1.2 s,
 * so two of its heartbeats are missing.
 */
const HOLDER_SILENCE_MS = 3000;
const CONNECT_TIMEOUT_MS = 500;

/** Claims on addresses, at one control machine. */
export class AddressClaims {
  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
    private readonly monitor: InstanceMonitor,
    private readonly connector: InstanceConnector,
  ) {}

  /** Whether a newcomer may take its address over from whoever holds it. */
  async examine(newcomer: InstanceEntry): Promise<ClaimOutcome> {
    const now = this.clock.now();
    const [holder] = this.catalog.othersAt(newcomer);
    const isHeld =
      holder !== undefined && this.monitor.age(holder.id ?? '', now) < HOLDER_SILENCE_MS;
    return isHeld ? this.ask(newcomer) : 'granted';
  }

  /** An instance opens a connection only for its own identifier. */
  private async ask(newcomer: InstanceEntry): Promise<ClaimOutcome> {
    try {
      const { connection } = await this.connector.connect(targetOf(newcomer), CONNECT_TIMEOUT_MS);
      connection.close();
      return 'granted';
    } catch (error) {
      // Anything but another identifier says nothing of who is there; the instance tells itself again.
      const isOther = error instanceof ConnectError && error.failure === 'wrongInstance';
      return isOther ? 'refused' : 'unclear';
    }
  }
}
