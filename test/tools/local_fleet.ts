/** A small deployment of real processes for integration tests. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type Connection, type ConnectionOptions, createConnection } from 'mysql2/promise';
import { type Deployment, QUETZAL } from '../../lab/fleet/deployment.js';
import { Fleet } from '../../lab/fleet/fleet.js';
import { CALLER_ACCOUNT, configurationFor, layoutOf } from '../../lab/fleet/layout.js';

const FIRST_NETWORK = 20;
const NETWORK_COUNT = 200;
/**
 * Longer than in production: an emulated instance has one thread and sends no heartbeat while it processes a statement
 * with many rows. No test that uses this fleet is about a change of primary.
 */
const ELECTION_TIMEOUT_MS = 3000;

const LAB_PROGRAM = fileURLToPath(new URL('../../lab/cli/main.js', import.meta.url));
export const PROXY_PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));

/** One group of three instances, one control machine, and three proxies, one of which is a gateway. */
const SMALL: Deployment = { ...QUETZAL, groups: ['payments'], controls: 1 };

/** A running deployment. */
export interface LocalFleet {
  readonly fleet: Fleet;
  readonly folder: string;
  /** Opens a client connection to a proxy by index. */
  connect(proxy: number, options?: ConnectionOptions): Promise<Connection>;
  stop(): Promise<void>;
}

/** What a test may choose of its deployment. */
interface LocalFleetOptions {
  /** Delay between receiving and executing on secondaries, in milliseconds. */
  readonly lagMs?: number;
  /** Time a statement takes on an instance, in milliseconds. */
  readonly statementMs?: number;
  /** Longest planned stop of a proxy, in milliseconds. */
  readonly stopDeadlineMs?: number;
}

/** Starts the deployment and waits until its groups are available. */
export async function startLocalFleet({
  lagMs = 30,
  statementMs = 0,
  stopDeadlineMs,
}: LocalFleetOptions = {}): Promise<LocalFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'whinyoke-test-'));
  const layout = layoutOf(SMALL, FIRST_NETWORK + (process.pid % NETWORK_COUNT));
  const fleet = new Fleet(layout, {
    folder,
    labProgram: LAB_PROGRAM,
    proxyProgram: PROXY_PROGRAM,
    statementMs,
    lagMs,
    stopDeadlineMs,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
  });
  fleet.start();
  const stop = async (): Promise<void> => {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    await fleet.apply(SMALL.name, configurationFor(layout, { gateways: 1 }), 'first');
    await fleet.waitForGroups();
  } catch (error) {
    await stop();
    throw error;
  }
  const connect = (proxy: number, options: ConnectionOptions = {}): Promise<Connection> => {
    const [host, port] = layout.proxies[proxy]!.listen.split(':');
    return createConnection({
      host,
      port: Number(port),
      ...CALLER_ACCOUNT,
      database: 'payments',
      ...options,
    });
  };
  return { fleet, folder, connect, stop };
}
