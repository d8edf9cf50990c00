/**
 * Configuration documents: the database groups that proxies serve. Operators submit whole documents;
 * nothing sets a single value.
 */
import { z } from 'zod';
import { InvalidDocumentError } from '../../errors/errors.js';
import { readYaml } from './yaml_document.js';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9_-]{0,62}$/, 'must be lower-case letters, digits, "-" or "_"');

/** `a.b.c.d:port` */
export const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    'must be an IP address and a port, as in 10.0.0.1:3306',
  );

const instanceSchema = z
  .strictObject({
    address: addressSchema.describe('Where the instance listens for MySQL clients.'),
    zone: nameSchema.describe('Zone of the machine.'),
    leaving: z.boolean().default(false).describe('The instance takes no new work.'),
  })
  .readonly();

/** Gateways that a group may have. */
export const MAXIMUM_GATEWAYS = 8;

const limitsSchema = z
  .strictObject({
    slots: z
      .int()
      .min(1)
      .max(1000)
      .default(5)
      .describe('Statements running at once, per instance.'),
    connections: z
      .int()
      .min(4)
      .max(100_000)
      .default(35)
      .describe('Connections open at once, per instance, monitoring included.'),
    monitoring_connections: z
      .int()
      .min(1)
      .max(1000)
      .default(5)
      .describe('Part of `connections` kept for monitoring.'),
    gateways: z
      .int()
      .min(1)
      .max(MAXIMUM_GATEWAYS)
      .default(2)
      .describe('Proxies that hold connections to this group; the others forward to them.'),
    queue: z
      .int()
      .min(0)
      .max(1_000_000)
      .default(500)
      .describe('Statements that may wait for a slot, per gateway.'),
  })
  .readonly();

const readsSchema = z
  .strictObject({
    without_token: z
      .enum(['barrier', 'primary'])
      .default('barrier')
      .describe('How reads of sessions without a token stay fresh.'),
    wait_ms: z
      .int()
      .min(0)
      .max(10_000)
      .default(100)
      .describe('Longest wait for a replica to catch up before the primary serves a read.'),
    monotonic: z
      .boolean()
      .default(true)
      .describe('A session never reads an older state than it read before.'),
  })
  .readonly();

const failoverSchema = z
  .strictObject({
    buffer_ms: z
      .int()
      .min(0)
      .max(60_000)
      .default(4000)
      .describe('Longest wait of a statement for a primary.'),
    buffer_statements: z
      .int()
      .min(0)
      .max(100_000)
      .default(1000)
      .describe('Statements that may wait for a primary, per gateway.'),
  })
  .readonly();

const groupSchema = z
  .strictObject({
    name: nameSchema,
    schemas: z.array(z.string().min(1)).min(1).describe('Schemas that this group holds.'),
    instances: z
      .array(instanceSchema)
      .min(1)
      .max(3, 'at most 3: a secondary of a larger group may show what a failover then loses')
      .readonly(),
    limits: limitsSchema.prefault({}),
    reads: readsSchema.prefault({}),
    failover: failoverSchema.prefault({}),
  })
  .readonly();

const documentSchema = z.strictObject({
  name: nameSchema,
  groups: z.array(groupSchema).min(1).readonly(),
});

/** A database group as configured. */
export type GroupConfiguration = z.infer<typeof groupSchema>;

/** An instance as configured. */
export type InstanceConfiguration = z.infer<typeof instanceSchema>;

/** One configuration document. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;

/** Schema of a configuration document, for documentation. */
export const configurationSchema = documentSchema;

function findDuplicate(values: readonly string[]): string | undefined {
  return values.find((value, index) => values.indexOf(value) !== index);
}

/**
 * Problems that only show across documents: names, schemas and addresses used twice.
 * @returns undefined when the documents fit together
 */
export function conflictBetween(documents: readonly ConfigurationDocument[]): string | undefined {
  const groups = documents.flatMap((document) => document.groups);
  const crowded = groups.find(({ limits }) => limits.gateways > limits.slots);
  if (crowded) return `group '${crowded.name}' has more gateways than slots an instance`;
  const unmonitored = groups.find(({ limits }) => limits.gateways > limits.monitoring_connections);
  if (unmonitored)
    return `group '${unmonitored.name}' has more gateways than monitoring connections`;
  const group = findDuplicate(groups.map((item) => item.name));
  if (group !== undefined) return `group '${group}' is configured twice`;
  const schema = findDuplicate(groups.flatMap((item) => item.schemas));
  if (schema !== undefined) return `schema '${schema}' belongs to two groups`;
  const addresses = groups.flatMap((item) => item.instances.map((instance) => instance.address));
  const address = findDuplicate(addresses);
  return address === undefined ? undefined : `instance ${address} is configured twice`;
}

/** Reads one configuration document; throws InvalidDocumentError. */
export function readConfiguration(text: string, fileName: string): ConfigurationDocument {
  const document = readYaml(text, fileName, documentSchema);
  const conflict = conflictBetween([document]);
  if (conflict !== undefined) throw new InvalidDocumentError(`${fileName}: ${conflict}`);
  return document;
}
