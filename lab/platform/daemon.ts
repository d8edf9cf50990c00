/** The platform's list of machines as a process: HTTP and JSON, with a settable lag. */
import { splitAddress } from '../../src/runtime/address.js';
import { createServer } from 'node:http';
import { z } from 'zod';
import { addressSchema } from '../../src/mysql/configuration/configuration.js';
import { stopSignal } from '../../src/daemon/stop_signal.js';
import type { PlatformMachine } from '../../src/mysql/control/platform_watcher.js';
import { messageOf } from '../../src/errors/errors.js';
import { readSettings } from '../../src/mysql/configuration/settings.js';

const machineSchema = z.strictObject({
  address: addressSchema,
  state: z.enum(['live', 'leaving']),
});

/** Settings of the emulated platform. */
const platformSettingsSchema = z.strictObject({
  listen: addressSchema,
  /** Time by which the shown list is behind, in milliseconds. */
  lag_ms: z.number().min(0).default(0),
  machines: z.array(machineSchema).default([]),
});

/** Runs the platform until it is told to stop. PUT replaces the list, GET shows it late. */
export async function runPlatform(settingsFile: string): Promise<void> {
  const settings = readSettings(settingsFile, platformSettingsSchema);
  let shown: readonly PlatformMachine[] = settings.machines;
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      try {
        if (request.method === 'PUT') {
          const body: unknown = JSON.parse(Buffer.concat(chunks).toString());
          const next = z.array(machineSchema).parse(body);
          setTimeout(() => (shown = next), settings.lag_ms);
        }
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(shown));
      } catch (error) {
        response.statusCode = 400;
        response.end(JSON.stringify({ error: messageOf(error) }));
      }
    });
  });
  const { host, port } = splitAddress(settings.listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  await stopSignal();
  process.exit(0);
}
