/** Addresses of a deployment's processes on loopback, and its configuration document. */
import { stringify } from 'yaml';
import type { Deployment } from './deployment.js';

/** Account that callers use. */
export const CALLER_ACCOUNT = { user: 'caller', password: 'caller-secret' };
/** Account that proxies use at instances. */
export const BACKEND_ACCOUNT = { user: 'whinyoke', password: 'backend-secret' };
/** Key of internal connections. */
export const SHARED_KEY = 'lab-shared-key';

const MYSQL_PORT = 3306;
/** Where an instance listens when a fault link has its usual port. */
const HIDDEN_MYSQL_PORT = 3316;
const GROUP_PORT = 3307;
const ADMIN_PORT = 3308;
const INTERNAL_PORT = 7000;
const METRICS_PORT = 9100;
const PLATFORM_PORT = 8000;

/** One instance's place. */
export interface InstancePlace {
  readonly group: string;
  readonly zone: string;
  /** Address that proxies are told. */
  readonly mysql: string;
  /** Address that the instance listens at when a fault link stands before it. */
  readonly hidden: string;
  readonly member: string;
  readonly admin: string;
}

/** One daemon's place. */
export interface DaemonPlace {
  readonly id: string;
  readonly zone: string;
  readonly internal: string;
  readonly listen: string;
  readonly metrics: string;
}

/** All places of a deployment. */
export interface Layout {
  readonly deployment: Deployment;
  readonly instances: readonly InstancePlace[];
  readonly controls: readonly DaemonPlace[];
  readonly proxies: readonly DaemonPlace[];
  readonly platform: string;
}

function zoneOf(deployment: Deployment, index: number): string {
  return deployment.zones[index % deployment.zones.length]!;
}

function daemonPlace(prefix: string, id: string, zone: string): DaemonPlace {
  return {
    id,
    zone,
    internal: `${prefix}:${INTERNAL_PORT}`,
    listen: `${prefix}:${MYSQL_PORT}`,
    metrics: `${prefix}:${METRICS_PORT}`,
  };
}

/**
 * Places of a deployment.
 * @param network - second octet of the loopback addresses, so that runs side by side do not collide
 */
export function layoutOf(deployment: Deployment, network: number): Layout {
  const host = (third: number, fourth: number): string => `127.${network}.${third}.${fourth + 1}`;
  const instances = deployment.groups.flatMap((group, groupIndex) =>
    Array.from({ length: deployment.instancesPerGroup }, (_, index) => {
      const address = host(10 + groupIndex, index);
      return {
        group,
        zone: zoneOf(deployment, index),
        mysql: `${address}:${MYSQL_PORT}`,
        hidden: `${address}:${HIDDEN_MYSQL_PORT}`,
        member: `${address}:${GROUP_PORT}`,
        admin: `${address}:${ADMIN_PORT}`,
      };
    }),
  );
  const places = (count: number, third: number, name: string): DaemonPlace[] =>
    Array.from({ length: count }, (_, index) =>
      daemonPlace(host(third, index), `${name}-${index + 1}`, zoneOf(deployment, index)),
    );
  return {
    deployment,
    instances,
    controls: places(deployment.controls, 1, 'control'),
    proxies: places(deployment.proxies, 2, 'proxy'),
    platform: `${host(3, 0)}:${PLATFORM_PORT}`,
  };
}

/** What is set for every group of a document. */
export interface GroupOptions {
  readonly gateways: number;
  readonly limits?: Readonly<Record<string, number>>;
  readonly reads?: Readonly<Record<string, string | number>>;
}

/** The configuration document that operators submit for a layout. */
export function configurationFor(
  layout: Layout,
  { gateways, limits = {}, reads = {} }: GroupOptions = { gateways: 2 },
): string {
  const { deployment } = layout;
  const { slots, connections } = deployment;
  return stringify({
    name: deployment.name,
    groups: deployment.groups.map((group) => ({
      name: group,
      schemas: [group],
      instances: layout.instances
        .filter((instance) => instance.group === group)
        .map((instance) => ({ address: instance.mysql, zone: instance.zone })),
      limits: { slots, connections, gateways, ...limits },
      reads,
    })),
  });
}
