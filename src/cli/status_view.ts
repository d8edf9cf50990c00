/** Merges the status replies of the control machines into the status of the deployment, and formats it as tables. */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { ControlStatus } from './operator_client.js';

/** Status of the deployment. */
export interface DeploymentStatus {
  /** Newest accepted revision known to any control machine. */
  readonly revision: number;
  readonly controls: readonly {
    readonly address: string;
    readonly answers: boolean;
    readonly member: string;
    readonly term: number;
    readonly leader: string;
    readonly hasQuorum: boolean;
    readonly revision: number;
  }[];
  readonly proxies: readonly whinyoke.IProxyReport[];
}

/** Merges status replies, keeping the most recent report of each proxy. */
export function mergeStatuses(statuses: readonly ControlStatus[]): DeploymentStatus {
  const proxies = new Map<string, whinyoke.IProxyReport>();
  for (const { status } of statuses) {
    for (const report of status?.proxies ?? []) {
      const known = proxies.get(report.id ?? '');
      const isYounger = !known || (report.ageMs ?? 0) < (known.ageMs ?? 0);
      if (isYounger) proxies.set(report.id ?? '', report);
    }
  }
  const controls = statuses.map(({ address, status }) => ({
    address,
    answers: status !== undefined,
    member: status?.member ?? '',
    term: status?.term ?? 0,
    leader: status?.leader ?? '',
    hasQuorum: status?.hasQuorum ?? false,
    revision: status?.revision ?? 0,
  }));
  const byId = (left: whinyoke.IProxyReport, right: whinyoke.IProxyReport): number =>
    (left.id ?? '') < (right.id ?? '') ? -1 : 1;
  return {
    revision: Math.max(0, ...controls.map((control) => control.revision)),
    controls,
    proxies: [...proxies.values()].sort(byId),
  };
}

function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]): string =>
    cells
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd();
  return [line(header), ...rows.map(line)].join('\n');
}

function groupRows(proxies: readonly whinyoke.IProxyReport[]): string[][] {
  return proxies.flatMap((proxy) =>
    (proxy.groups ?? []).flatMap((group) =>
      (group.instances ?? []).map((instance) => [
        group.group ?? '',
        proxy.id ?? '',
        instance.address ?? '',
        instance.role ?? '',
        String(group.term ?? 0),
        instance.reachable ? 'yes' : 'NO',
        instance.address === group.primary ? (group.trusted ? 'trusted' : 'NOT TRUSTED') : '-',
        String(instance.lag ?? 0),
        `${instance.running ?? 0}/${instance.slotShare ?? 0}`,
        `${instance.connections ?? 0}/${instance.connectionShare ?? 0}`,
      ]),
    ),
  );
}

/** Formats the status as text tables. */
export function formatStatus(status: DeploymentStatus): string {
  const controls = table(
    ['control', 'answers', 'quorum', 'term', 'leader', 'revision'],
    status.controls.map((control) => [
      control.address,
      control.answers ? 'yes' : 'NO',
      control.hasQuorum ? 'yes' : 'NO',
      String(control.term),
      control.leader || '-',
      String(control.revision),
    ]),
  );
  const proxies = table(
    ['proxy', 'zone', 'address', 'revision in force', 'callers', 'state'],
    status.proxies.map((proxy) => [
      proxy.id ?? '',
      proxy.zone ?? '',
      proxy.address ?? '',
      proxy.revision === status.revision ? String(proxy.revision) : `${proxy.revision} (behind)`,
      String(proxy.clientConnections ?? 0),
      proxy.draining ? 'stopping' : 'serving',
    ]),
  );
  const groups = table(
    [
      'group',
      'gateway',
      'instance',
      'role',
      'term',
      'reachable',
      'trust',
      'lag',
      'slots',
      'connections',
    ],
    groupRows(status.proxies),
  );
  return [`accepted revision: ${status.revision}`, controls, proxies, groups].join('\n\n');
}
