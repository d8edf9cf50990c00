/**
 * The runtime of the MySQL interface's daemons, from their settings files. Owns nothing; relies on the data folder, the key
 * file and the internal address, without which a process does not start.
 */
import { WhinyokeError } from '../errors/errors.js';
import { RealFolder } from '../runtime/real_folder.js';
import { readSecret, resolvePath } from '../mysql/configuration/settings.js';
import { type ProcessRuntime, openRealRuntime } from './real_runtime.js';

/** Settings that every daemon has. */
interface CommonSettings {
  readonly data_folder: string;
  readonly internal: string;
  readonly shared_key_file: string;
}

/** Opens the data folder and the internal listener. */
export async function openRuntime(
  settingsFile: string,
  settings: CommonSettings,
): Promise<ProcessRuntime> {
  if (process.env['UV_USE_IO_URING'] === '1') {
    throw new WhinyokeError('UV_USE_IO_URING must not be 1');
  }
  return openRealRuntime({
    internal: settings.internal,
    sharedKey: Buffer.from(readSecret(settingsFile, settings.shared_key_file)),
    openFolder: () => RealFolder.open(resolvePath(settingsFile, settings.data_folder)),
  });
}
