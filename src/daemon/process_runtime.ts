/**
 * Creates the runtime of the MySQL interface's daemons from their settings files. The process does not start if the data
 * folder or the key file cannot be read or the internal address cannot be bound.
 */
import { WhinyokeError } from '../errors/errors.js';
import type { EventLogger } from '../observability/logger.js';
import { RealFolder } from '../runtime/real_folder.js';
import { readSecret, resolvePath } from '../mysql/configuration/settings.js';
import { type ProcessRuntime, openRealRuntime } from './real_runtime.js';

/** Settings common to all daemons. */
interface CommonSettings {
  readonly data_folder: string;
  readonly internal: string;
  readonly shared_key_file: string;
}

/**
 * Opens the data folder and the internal listener.
 * @param logger - receives failures of writes to the data folder
 */
export async function openRuntime(
  settingsFile: string,
  settings: CommonSettings,
  logger: EventLogger,
): Promise<ProcessRuntime> {
  if (process.env['UV_USE_IO_URING'] === '1') {
    throw new WhinyokeError('UV_USE_IO_URING must not be 1');
  }
  return openRealRuntime({
    internal: settings.internal,
    sharedKey: Buffer.from(readSecret(settingsFile, settings.shared_key_file)),
    openFolder: () => RealFolder.open(resolvePath(settingsFile, settings.data_folder)),
    logger,
  });
}
