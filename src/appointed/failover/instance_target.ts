/** Connection target of an instance of the catalog. */
import type { InstanceEntry } from '../catalog/catalog.js';
import type { InstanceTarget } from '../instance/instance_connection.js';

export function targetOf(instance: InstanceEntry): InstanceTarget {
  return {
    id: instance.id ?? '',
    group: instance.group ?? '',
    address: instance.address ?? '',
    incarnation: instance.incarnation ?? 0,
  };
}
