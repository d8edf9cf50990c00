/** Summary of a gateway for operators. */
import type { GroupGateway } from '../gateway/group_gateway.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import { START } from '../../positions/position.js';
import type { InstanceDescription } from '../topology/group_description.js';

function newestSequence(instances: readonly InstanceDescription[]): number {
  return Math.max(0, ...instances.map((instance) => instance.report?.received.sequence ?? 0));
}

function reportInstance(
  gateway: GroupGateway,
  instance: InstanceDescription,
  newest: number,
): whinyoke.IInstanceReport {
  const resources = gateway.resourcesOf(instance.address);
  const executed = instance.report?.executed ?? START;
  return {
    address: instance.address,
    role: instance.report?.isPrimary ? 'primary' : 'secondary',
    reachable: instance.isReachable,
    lag: Math.max(0, newest - executed.sequence),
    connections: resources?.pool.size ?? 0,
    running: resources?.slots.used ?? 0,
    connectionShare: resources?.pool.connectionLimit ?? 0,
    slotShare: resources?.slots.limit ?? 0,
  };
}

/** Report of one group. */
export function reportGroup(gateway: GroupGateway): whinyoke.IGroupReport {
  const { group } = gateway.monitor;
  const newest = newestSequence(group.instances);
  return {
    group: group.name,
    term: group.term,
    primary: group.primary ?? '',
    trusted: gateway.trustedPrimary() !== undefined,
    instances: group.instances.map((instance) => reportInstance(gateway, instance, newest)),
  };
}
