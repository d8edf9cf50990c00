/** Sizes of simulated deployments whose primaries are appointed. */

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

/** All, by name. */
export const APPOINTED_DEPLOYMENTS: ReadonlyMap<string, AppointedDeployment> = new Map(
  [APPOINTED_QUETZAL, APPOINTED_TOPLINA].map((item) => [item.name, item]),
);
