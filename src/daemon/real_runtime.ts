/**
 * Production runtime of the daemons: system clock, random numbers seeded by the system, internal listener and data folder.
 * The process does not start if the address cannot be bound or the folder cannot be opened.
 */
import { messageOf } from '../errors/errors.js';
import { Events } from '../observability/events.js';
import type { EventLogger } from '../observability/logger.js';
import { splitAddress } from '../runtime/address.js';
import { RealClock } from '../runtime/real_clock.js';
import type { DataFolder, Runtime } from '../runtime/runtime.js';
import { SeededRandom } from '../runtime/seeded_random.js';
import { TcpMessenger } from '../runtime/tcp_messenger.js';
import { type FolderObserver, observeFolder } from '../storage/observed_folder.js';

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
  /** Receives failures of writes to the data folder. */
  readonly logger: EventLogger;
}

/** Runtime whose messenger must be closed when the process ends. */
export interface ProcessRuntime extends Runtime {
  readonly messenger: TcpMessenger;
}

function logFailures(logger: EventLogger): FolderObserver {
  return {
    onFailure: (operation, file, error) =>
      logger.event(Events.diskWriteFailed, { operation, file, reason: messageOf(error) }),
    onRecovery: () => logger.event(Events.diskWriteRecovered, {}),
  };
}

/** Opens the data folder and the internal listener. */
export async function openRealRuntime(options: RealRuntimeOptions): Promise<ProcessRuntime> {
  const { internal, sharedKey, connectTimeoutMs, openFolder, logger } = options;
  const timeout = connectTimeoutMs === undefined ? {} : { connectTimeoutMs };
  const messenger = new TcpMessenger({ ...splitAddress(internal), sharedKey, ...timeout });
  const folder = observeFolder(await openFolder(), logFailures(logger));
  await messenger.listen();
  return { clock: new RealClock(), random: SeededRandom.fromSystem(), folder, messenger };
}
