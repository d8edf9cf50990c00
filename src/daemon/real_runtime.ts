/**
 * The runtime that every daemon is given: real clock, randomness of the system, internal listener, data folder. Owns the
 * listener; relies on the address being free and the folder being there, without which a process does not start.
 */
import { splitAddress } from '../runtime/address.js';
import { RealClock } from '../runtime/real_clock.js';
import type { DataFolder, Runtime } from '../runtime/runtime.js';
import { SeededRandom } from '../runtime/seeded_random.js';
import { TcpMessenger } from '../runtime/tcp_messenger.js';

/** What differs between daemons. */
interface RealRuntimeOptions {
  /** Address for messages of other processes. */
  readonly internal: string;
  /** Key that peers must show; undefined where the network is trusted. */
  readonly sharedKey: Buffer | undefined;
  /** Time to open a connection to a peer, in milliseconds; the messenger's own where left out. */
  readonly connectTimeoutMs?: number;
  /** Opens the data folder; called before the process listens. */
  readonly openFolder: () => Promise<DataFolder>;
}

/** A runtime together with what must be closed at the end. */
export interface ProcessRuntime extends Runtime {
  readonly messenger: TcpMessenger;
}

/** Opens the data folder and the internal listener. */
export async function openRealRuntime(options: RealRuntimeOptions): Promise<ProcessRuntime> {
  const { internal, sharedKey, connectTimeoutMs, openFolder } = options;
  const timeout = connectTimeoutMs === undefined ? {} : { connectTimeoutMs };
  const messenger = new TcpMessenger({ ...splitAddress(internal), sharedKey, ...timeout });
  const folder = await openFolder();
  await messenger.listen();
  return { clock: new RealClock(), random: SeededRandom.fromSystem(), folder, messenger };
}
