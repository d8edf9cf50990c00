/**
 * Production runtime of the daemons: system clock, random numbers seeded by the system, internal listener and data folder.
 * The process does not start if the address cannot be bound or the folder cannot be opened.
 */
import { splitAddress } from '../runtime/address.js';
import { RealClock } from '../runtime/real_clock.js';
import type { DataFolder, Runtime } from '../runtime/runtime.js';
import { SeededRandom } from '../runtime/seeded_random.js';
import { TcpMessenger } from '../runtime/tcp_messenger.js';

/** Options that differ between daemons. */
interface RealRuntimeOptions {
  /** Address for messages of other processes. */
  readonly internal: string;
  /** Shared key that authenticates peers; undefined on a trusted network. */
  readonly sharedKey: Buffer | undefined;
  /** Timeout for opening a connection to a peer, in milliseconds; defaults to that of the messenger. */
  readonly connectTimeoutMs?: number;
  /** Opens the data folder; called before the process starts to listen. */
  readonly openFolder: () => Promise<DataFolder>;
}

/** Runtime whose messenger must be closed when the process ends. */
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
