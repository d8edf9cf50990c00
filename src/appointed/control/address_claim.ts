/**
 * Decides whether an unknown instance really is at the address that its heartbeat reports. A
 * heartbeat may arrive seconds late, after its sender crashed and another instance started at the
 * same address; it must not remove the live instance.
 *
 * The claim is granted if no instance holds the address or the holder sends no heartbeats;
 * otherwise the instance that answers at the address decides. If none answers, the claim is
 * unclear, and the next heartbeat repeats it.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import type { InstanceMonitor } from '../failover/instance_monitor.js';
import { targetOf } from '../failover/instance_target.js';
import { ConnectError, type InstanceConnector } from '../instance/instance_connection.js';
import type { Clock } from '../../runtime/runtime.js';

/** Result of a claim on an address. */
export type ClaimOutcome = 'granted' | 'refused' | 'unclear';

/**
 * A holder without heartbeats for longer counts as gone. Instances send one about every 1.2 s, so
 * two are missing.
 */
const HOLDER_TIMEOUT_MS = 3000;
const CONNECT_TIMEOUT_MS = 500;

/** Evaluates claims on addresses at one control machine. */
export class AddressClaims {
  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
    private readonly monitor: InstanceMonitor,
    private readonly connector: InstanceConnector,
  ) {}

  /** Decides whether an instance may take its address over from the current holder. */
  async evaluate(claimant: InstanceEntry): Promise<ClaimOutcome> {
    const now = this.clock.now();
    const [holder] = this.catalog.otherInstancesAt(claimant);
    const isHolderAlive =
      holder !== undefined && this.monitor.heartbeatAgeMs(holder.id ?? '', now) < HOLDER_TIMEOUT_MS;
    return isHolderAlive ? this.verifyByConnecting(claimant) : 'granted';
  }

  /** Instances accept only connections that are addressed to their own identifier. */
  private async verifyByConnecting(claimant: InstanceEntry): Promise<ClaimOutcome> {
    try {
      const { connection } = await this.connector.connect(targetOf(claimant), CONNECT_TIMEOUT_MS);
      connection.close();
      return 'granted';
    } catch (error) {
      // Only a mismatch of identifiers proves that another instance is there; after other errors
      // the next heartbeat tries again.
      const isOther = error instanceof ConnectError && error.failure === 'wrongInstance';
      return isOther ? 'refused' : 'unclear';
    }
  }
}
