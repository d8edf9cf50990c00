/**
 * Settings of one process: addresses, zone, data folder, keys. Unlike configurations they are local files
 * and take effect at start.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { z } from 'zod';
import { addressSchema } from './configuration.js';
import { readYaml } from './yaml_document.js';
import { InvalidDocumentError, messageOf } from '../../errors/errors.js';

const logLevelSchema = z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info');

const commonShape = {
  data_folder: z.string().min(1).describe('Folder for durable state; relative to this file.'),
  internal: addressSchema.describe('Address for messages of other processes; listens there.'),
  controls: z.array(addressSchema).describe('Addresses of all control machines.'),
  shared_key_file: z.string().min(1).describe('File with the key that all processes share.'),
  metrics: addressSchema
    .optional()
    .describe('Address for metrics, health and readiness over HTTP.'),
  log_level: logLevelSchema,
};

const accountSchema = z.strictObject({
  user: z.string().min(1),
  password_file: z.string().min(1).describe('File whose first line is the password.'),
});

/** Schema of a proxy's settings. */
export const proxySettingsSchema = z.strictObject({
  ...commonShape,
  id: z.string().min(1).describe('Name of the proxy, unique in the fleet.'),
  zone: z.string().min(1),
  listen: addressSchema.describe('Address for callers.'),
  maximum_callers: z.int().min(1).default(10_000).describe('Caller connections held at most.'),
  stop_deadline_ms: z.int().min(0).default(30_000).describe('Longest planned stop.'),
  callers: z.array(accountSchema).min(1).describe('Accounts that callers sign on with.'),
  backend: accountSchema.describe('Account at the database instances.'),
});

/** Schema of a control machine's settings. */
export const controlSettingsSchema = z.strictObject({
  ...commonShape,
  platform_url: z.url().optional().describe('URL of the platform’s list of machines.'),
});

/** Schema of the operators' client settings. */
export const clientSettingsSchema = z.strictObject({
  controls: z.array(addressSchema).min(1),
  shared_key_file: z.string().min(1),
});

/** Settings of a proxy. */
export type ProxySettings = z.infer<typeof proxySettingsSchema>;

/** Settings of a control machine. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;

/** Settings of the operators' client. */
export type ClientSettings = z.infer<typeof clientSettingsSchema>;

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new InvalidDocumentError(`${path}: ${messageOf(error)}`);
  }
}

/** Reads a settings file; throws InvalidDocumentError. */
export function readSettings<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
): z.infer<Schema> {
  return readYaml(readText(path), path, schema);
}

/** A path in a settings file, relative to that file. */
export function resolvePath(settingsFile: string, path: string): string {
  return resolve(dirname(settingsFile), path);
}

/** First line of a password or key file. */
export function readSecret(settingsFile: string, path: string): string {
  const file = resolvePath(settingsFile, path);
  const secret = readText(file).split('\n')[0]!.trimEnd();
  if (secret === '') throw new InvalidDocumentError(`${file}: is empty`);
  return secret;
}
