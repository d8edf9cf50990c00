/** The real runtime of a daemon. */
import { splitAddress } from '../runtime/address.js';
import { WhinyokeError } from '../errors/errors.js';
import { RealClock } from '../runtime/real_clock.js';
import { RealFolder } from '../runtime/real_folder.js';
import type { Runtime } from '../runtime/runtime.js';
import { SeededRandom } from '../runtime/seeded_random.js';
import { TcpMessenger } from '../runtime/tcp_messenger.js';
import { readSecret, resolvePath } from '../mysql/configuration/settings.js';

/** Settings that every daemon has. */
export interface CommonSettings {
  readonly data_folder: string;
  readonly internal: string;
  readonly shared_key_file: string;
}

/** A runtime together with what must be closed at the end. */
export interface ProcessRuntime extends Runtime {
  readonly messenger: TcpMessenger;
}

/** Opens the data folder and the internal listener. */
export async function openRuntime(
  settingsFile: string,
  settings: CommonSettings,
): Promise<ProcessRuntime> {
  if (process.env['UV_USE_IO_URING'] === '1') {
    throw new WhinyokeError('UV_USE_IO_URING must not be 1');
  }
  const messenger = new TcpMessenger({
    ...splitAddress(settings.internal),
    sharedKey: Buffer.from(readSecret(settingsFile, settings.shared_key_file)),
  });
  const folder = await RealFolder.open(resolvePath(settingsFile, settings.data_folder));
  await messenger.listen();
  return { clock: new RealClock(), random: SeededRandom.fromSystem(), folder, messenger };
}
