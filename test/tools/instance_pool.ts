/** Pools of connections to one instance, for tests: settings and listeners that a test leaves out are the plainest ones. */
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

/** A connector whose connections can only be closed; `tenants` names the tenant of each opening. */
export class CountingConnector implements InstanceConnector {
  readonly tenants: string[] = [];

  /** Number of openings. */
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

/** What a test sets of its pool. */
interface TestPoolOptions extends Partial<Omit<PoolOptions, 'quota'>>, Partial<PoolListener> {
  readonly quota?: Partial<ReturnType<PoolOptions['quota']>>;
  readonly clock?: Clock;
  readonly load?: InstanceLoad;
}

/** A pool of an instance with many slots, at a proxy that may hold two connections. */
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
