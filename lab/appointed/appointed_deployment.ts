/** Sizes of simulated deployments whose primaries are appointed. */
import type { SlowStart } from '../../src/appointed/catalog/route_table.js';
import type { SlowStartRules } from '../../src/appointed/placement/slow_start_budget.js';
import type { QuotaRules } from '../../src/appointed/tenancy/operation_budget.js';

/** One deployment. */
export interface AppointedDeployment {
  readonly name: string;
  readonly proxies: number;
  readonly controls: number;
  readonly groups: number;
  readonly instances: number;
  readonly slots: number;
  readonly connectionLimit: number;
  /** One-way delay between hosts, and to callers, in milliseconds. */
  readonly networkMs: number;
  readonly callerMs: number;
  readonly lagMs: number;
  readonly workMs: number;
  readonly callers: number;
  /** Whether instances tell when they started, and may start again empty under their identifier. */
  readonly tellsBorn?: boolean;
  /** Tenants of the callers; undefined where callers need no credential. */
  readonly tenancy?: TenancyOfDeployment;
  /** Slow start of its instances, which are cold from the begin of the run on; undefined where they are warm at once. */
  readonly slowStart?: SlowStart & SlowStartRules;
  /** A group all of whose routes are bound to some regions; undefined where nothing is bound. */
  readonly residency?: ResidencyOfDeployment;
}

/** Regions of a deployment, and what is bound to them. */
export interface ResidencyOfDeployment {
  readonly regionByZone: ReadonlyMap<string, string>;
  /** Group whose routes are bound. */
  readonly group: string;
  readonly homes: ReadonlySet<string>;
}

/** Tenants of a deployment, and how strictly their limits are judged. */
export interface TenancyOfDeployment {
  /** Limit of each tenant, operations a second; callers are spread over the tenants in turn. */
  readonly rates: readonly number[];
  readonly quotaRules: QuotaRules;
  /** A credential that was taken away must be refused after this time, in milliseconds. */
  readonly revocationMs: number;
}

/** Citas Quetzal. */
export const APPOINTED_QUETZAL: AppointedDeployment = {
  name: 'appointed-quetzal',
  proxies: 6,
  controls: 3,
  groups: 2,
  instances: 3,
  slots: 3,
  connectionLimit: 34,
  networkMs: 1.4,
  callerMs: 1,
  lagMs: 8,
  workMs: 10,
  callers: 18,
};

/** Toplina. */
export const APPOINTED_TOPLINA: AppointedDeployment = {
  name: 'appointed-toplina',
  proxies: 8,
  controls: 4,
  groups: 2,
  instances: 3,
  slots: 2,
  connectionLimit: 32,
  networkMs: 1.4,
  callerMs: 3,
  lagMs: 60,
  workMs: 8,
  callers: 18,
};

/**
 * Many proxies before few connections, with tenants: one far below its limit, two near it, one beyond. The limits are
 * those of a fleet whose tenants share a window of five seconds.
 */
export const APPOINTED_TENANTS: AppointedDeployment = {
  name: 'appointed-tenants',
  proxies: 10,
  controls: 5,
  groups: 2,
  instances: 3,
  slots: 6,
  connectionLimit: 16,
  networkMs: 0.9,
  callerMs: 1,
  lagMs: 40,
  workMs: 10,
  callers: 24,
  tenancy: {
    rates: [200, 60, 40, 15],
    quotaRules: { windowMs: 5000, overage: 0.1, tolerance: 20 },
    revocationMs: 5000,
  },
};

/** Instances that may start again empty under their identifier. */
export const APPOINTED_INCARNATIONS: AppointedDeployment = {
  ...APPOINTED_QUETZAL,
  name: 'appointed-incarnations',
  lagMs: 30,
  tellsBorn: true,
};

/** Many proxies before few connections in two regions; the requests of one group may not leave one of them. */
export const APPOINTED_REGIONS: AppointedDeployment = {
  ...APPOINTED_TENANTS,
  name: 'appointed-regions',
  tenancy: undefined,
  residency: {
    regionByZone: new Map([
      ['zone-0', 'north'],
      ['zone-1', 'south'],
      ['zone-2', 'south'],
    ]),
    group: 'group-1',
    homes: new Set(['south']),
  },
};

/** Instances that warm up for the first half of the faults, at a rate below what callers ask for. */
export const APPOINTED_SLOW_START: AppointedDeployment = {
  ...APPOINTED_QUETZAL,
  name: 'appointed-slow-start',
  slowStart: {
    warmupMs: 15_000,
    requestsPerSecond: 20,
    slowStartOverage: 1.5,
    slowStartTolerance: 5,
  },
};

/** The same where statements pass through connection owners. */
export const APPOINTED_INCARNATIONS_RELAYED: AppointedDeployment = {
  ...APPOINTED_TENANTS,
  name: 'appointed-incarnations-relayed',
  tellsBorn: true,
};

/** All, by name. */
export const APPOINTED_DEPLOYMENTS: ReadonlyMap<string, AppointedDeployment> = new Map(
  [
    APPOINTED_QUETZAL,
    APPOINTED_TOPLINA,
    APPOINTED_TENANTS,
    APPOINTED_INCARNATIONS,
    APPOINTED_REGIONS,
    APPOINTED_SLOW_START,
    APPOINTED_INCARNATIONS_RELAYED,
  ].map((item) => [item.name, item]),
);
