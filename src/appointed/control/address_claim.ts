/**
 * DECISION: whether an instance that control hears of for the first time is really at the address that it names.
 *
 * Answers: a heartbeat that was delayed by seconds; its sender may have crashed meanwhile, and another instance may have its
 *   address. A late heartbeat must not end an instance that is alive.
 * Inputs: the present holder of the address, milliseconds since that one's newest heartbeat, the answer at the address.
 * Rule: granted when nobody holds the address or its holder is silent; otherwise the instance that answers at the address decides.
 * Constants: below. Tests: test/unit/address_claim.test.ts.
 *
 * Owns nothing. Relies on the instance at the address, which may not answer: the claim is unclear then, and the instance's next heartbeat repeats it.
 */
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import type { InstanceMonitor } from '../failover/instance_monitor.js';
import { targetOf } from '../failover/instance_target.js';
import { ConnectError, type InstanceConnector } from '../instance/instance_connection.js';
import type { Clock } from '../../runtime/runtime.js';

/** Whether the newcomer has the address. */
export type ClaimOutcome = 'granted' | 'refused' | 'unclear';

/**
 * A holder of the address that was silent for longer is gone, in milliseconds: instances send one about every 1.2 s,
 * so two of its heartbeats are missing. A guess, not measured.
 */
const HOLDER_TIMEOUT_MS = 3000;
/** Time to open a connection to the address, in milliseconds. A guess, not measured. */
const CONNECT_TIMEOUT_MS = 500;

/** Claims on addresses, at one control machine. */
export class AddressClaims {
  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
    private readonly monitor: InstanceMonitor,
    private readonly connector: InstanceConnector,
  ) {}

  /** Whether a newcomer may take its address over from the instance that holds it. */
  async evaluate(claimant: InstanceEntry): Promise<ClaimOutcome> {
    const now = this.clock.now();
    const [holder] = this.catalog.otherInstancesAt(claimant);
    const isHolderAlive =
      holder !== undefined && this.monitor.heartbeatAgeMs(holder.id ?? '', now) < HOLDER_TIMEOUT_MS;
    return isHolderAlive ? this.verifyByConnecting(claimant) : 'granted';
  }

  /** An instance opens a connection only for its own identifier. */
  private async verifyByConnecting(claimant: InstanceEntry): Promise<ClaimOutcome> {
    try {
      const { connection } = await this.connector.connect(targetOf(claimant), CONNECT_TIMEOUT_MS);
      connection.close();
      return 'granted';
    } catch (error) {
      // Anything but another identifier says nothing of who is there; the newcomer's next heartbeat asks again.
      const isOther = error instanceof ConnectError && error.failure === 'wrongInstance';
      return isOther ? 'refused' : 'unclear';
    }
  }
}
