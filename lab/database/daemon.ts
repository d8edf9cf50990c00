/** One emulated database instance as a process, with an HTTP port for faults. */
import { splitAddress } from '../../src/runtime/address.js';
import { createServer } from 'node:http';
import { z } from 'zod';
import { addressSchema } from '../../src/mysql/configuration/configuration.js';
import { stopSignal } from '../../src/daemon/stop_signal.js';
import { messageOf } from '../../src/errors/errors.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import { RealFolder } from '../../src/runtime/real_folder.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { TcpMessenger } from '../../src/runtime/tcp_messenger.js';
import { readSettings, resolvePath } from '../../src/mysql/configuration/settings.js';
import { FaultMessenger } from './fault_messenger.js';
import { DatabaseInstance } from './instance.js';
import { createEndpoint } from './mysql_endpoint.js';

/** Interval of a primary's heartbeats, in milliseconds; several fit into the shortest election time-out in use. */
const HEARTBEAT_MS = 50;
/** How long a statement waits for a row lock, in milliseconds. */
const LOCK_WAIT_MS = 1000;

/** Settings of an emulated instance. */
const databaseSettingsSchema = z.strictObject({
  data_folder: z.string(),
  listen: addressSchema,
  group_address: addressSchema,
  members: z.array(addressSchema).min(1),
  admin: addressSchema,
  user: z.string(),
  password: z.string(),
  slots: z.int().min(1),
  connections: z.int().min(1),
  connect_ms: z.number().min(0),
  statement_ms: z.number().min(0),
  lag_ms: z.number().min(0),
  election_timeout_ms: z.number().min(1),
  /** The former data folder was lost: rejoin the group without a vote until caught up. */
  lost_disk: z.boolean().default(false),
});

/** A fault or its end. */
const faultSchema = z.strictObject({
  /** Cuts traffic with the other members; clients still reach the instance. */
  isolate: z.enum(['none', 'incoming', 'outgoing', 'both']).optional(),
  lag_ms: z.number().min(0).optional(),
  /** Factor on statement times. */
  slowness: z.number().min(0).optional(),
  leaving: z.boolean().optional(),
});

type Fault = z.infer<typeof faultSchema>;

function applyFault(instance: DatabaseInstance, messenger: FaultMessenger, fault: Fault): void {
  if (fault.isolate !== undefined) {
    messenger.cutsIncoming = fault.isolate === 'incoming' || fault.isolate === 'both';
    messenger.cutsOutgoing = fault.isolate === 'outgoing' || fault.isolate === 'both';
  }
  if (fault.lag_ms !== undefined) instance.member.replicationLagMs = fault.lag_ms;
  if (fault.slowness !== undefined) instance.slowness = fault.slowness;
  if (fault.leaving !== undefined) instance.setLeaving(fault.leaving);
}

function startAdmin(address: string, instance: DatabaseInstance, messenger: FaultMessenger): void {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      try {
        if (request.method === 'POST') {
          const body: unknown = JSON.parse(Buffer.concat(chunks).toString());
          applyFault(instance, messenger, faultSchema.parse(body));
        }
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(instance.describe()));
      } catch (error) {
        response.statusCode = 400;
        response.end(JSON.stringify({ error: messageOf(error) }));
      }
    });
  });
  const { host, port } = splitAddress(address);
  server.listen(port, host);
}

/** Runs an instance until it is told to stop. */
export async function runDatabase(settingsFile: string): Promise<void> {
  const settings = readSettings(settingsFile, databaseSettingsSchema);
  const folder = await RealFolder.open(resolvePath(settingsFile, settings.data_folder));
  const tcp = new TcpMessenger({
    ...splitAddress(settings.group_address),
    sharedKey: Buffer.from(settings.password),
  });
  const messenger = new FaultMessenger(tcp);
  const runtime = {
    clock: new RealClock(),
    random: SeededRandom.fromSystem(),
    folder,
    messenger,
  };
  const instance = new DatabaseInstance(runtime, folder, {
    group: {
      address: settings.group_address,
      members: settings.members,
      heartbeatMs: HEARTBEAT_MS,
      electionTimeoutMs: settings.election_timeout_ms,
    },
    slots: settings.slots,
    connections: settings.connections,
    connectMs: settings.connect_ms,
    statementMs: settings.statement_ms,
    lockWaitMs: LOCK_WAIT_MS,
  });
  instance.member.replicationLagMs = settings.lag_ms;
  await tcp.listen();
  await instance.start(settings.lost_disk);
  const endpoint = createEndpoint(instance, {
    ...splitAddress(settings.listen),
    user: settings.user,
    password: settings.password,
  });
  await endpoint.listen();
  startAdmin(settings.admin, instance, messenger);
  await stopSignal();
  process.exit(0);
}
