/** The two deployments of the brief, in numbers. */

/** Sizes of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly zones: readonly string[];
  readonly groups: readonly string[];
  readonly instancesPerGroup: number;
  readonly controls: number;
  readonly proxies: number;
  readonly slots: number;
  readonly connections: number;
  /** Time to open a connection to an instance, in milliseconds. */
  readonly connectMs: number;
  /** One-way delay between machines, in milliseconds. */
  readonly networkMs: number;
  /** One-way delay between callers and proxies, in milliseconds. */
  readonly callerMs: number;
}

/** Citas Quetzal: appointments and payments in three zones. */
export const QUETZAL: Deployment = {
  name: 'quetzal',
  zones: ['zone-a', 'zone-b', 'zone-c'],
  groups: ['appointments', 'payments', 'bookings'],
  instancesPerGroup: 3,
  controls: 3,
  proxies: 3,
  slots: 5,
  connections: 35,
  connectMs: 10,
  networkMs: 1.5,
  callerMs: 1,
};

/** Toplina Skupaj: dispatch and deliveries from three depots and an office. */
export const TOPLINA: Deployment = {
  name: 'toplina',
  zones: ['depot-north', 'depot-east', 'depot-west', 'office'],
  groups: ['dispatch', 'deliveries', 'tanks'],
  instancesPerGroup: 3,
  controls: 3,
  proxies: 4,
  slots: 4,
  connections: 65,
  connectMs: 30,
  networkMs: 1.5,
  callerMs: 3,
};

/** Deployment of that name. */
export function deploymentOf(name: string): Deployment {
  return name === TOPLINA.name ? TOPLINA : QUETZAL;
}
