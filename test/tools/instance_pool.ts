/** Creates instance pools for tests. Options that a test leaves out have simple defaults. */
import type { InstanceConnector } from '../../src/appointed/instance/instance_connection.js';
import { InstanceLoad } from '../../src/appointed/connections/instance_load.js';
import { InstancePool } from '../../src/appointed/connections/instance_pool.js';
import type { PoolListener, PoolOptions } from '../../src/appointed/connections/pool_options.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import type { Clock } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { FakeConnection } from './fake_connection.js';

const MANY_SLOTS = 100;
const TARGET = { id: 'i', group: 'g', address: '127.0.0.1:1' };

/**
 * Connector whose connections can only be closed; `tenants` lists the tenant of each connection.
 */
export class CountingConnector implements InstanceConnector {
  readonly tenants: string[] = [];

  /** Number of connections opened. */
  get opened(): number {
    return this.tenants.length;
  }

  connect(
    _target: unknown,
    _timeoutMs: number,
    tenant = '',
  ): Promise<{ connection: FakeConnection }> {
    this.tenants.push(tenant);
    return Promise.resolve({ connection: new FakeConnection() });
  }
}

/** Options that a test overrides. */
interface TestPoolOptions extends Partial<Omit<PoolOptions, 'quota'>>, Partial<PoolListener> {
  readonly quota?: Partial<ReturnType<PoolOptions['quota']>>;
  readonly clock?: Clock;
  readonly load?: InstanceLoad;
}

/** Creates a pool with at most two connections at an instance with many slots. */
export function createTestPool(
  connector: InstanceConnector,
  options: TestPoolOptions = {},
): InstancePool {
  const { quota, clock = new RealClock(), load = new InstanceLoad(), ...set } = options;
  const ignore = (): undefined => undefined;
  const settings = {
    quota: () => ({
      maxConnections: 2,
      minimumIdle: 0,
      idleTimeoutMs: 1000,
      clampMs: 50,
      ...quota,
    }),
    slots: () => MANY_SLOTS,
    connectTimeoutMs: 100,
    proxyCount: () => 1,
    opensSpareConnections: () => true,
    random: new SeededRandom(1),
    ...set,
  };
  const listener = {
    onConnectFailed: ignore,
    onOpened: ignore,
    onBusy: ignore,
    onDisplaced: ignore,
    ...set,
  };
  return new InstancePool(TARGET, connector, clock, load, settings, listener);
}
