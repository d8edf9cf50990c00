/** System variables of an emulated instance. */
import { gtidSet } from './performance_schema.js';
import type { SessionHost } from './session_host.js';
import type { Value } from './sql/syntax.js';

/** Value of a system variable; NULL for those that this subset does not know. */
export function systemVariable(instance: SessionHost, name: string): Value {
  switch (name) {
    case 'gtid_executed':
      return gtidSet(instance.member, 'executed');
    case 'server_uuid':
      return instance.serverUuid;
    case 'read_only':
    case 'super_read_only':
      return instance.member.isWritable ? 0 : 1;
    case 'version':
      return '8.4.0-whinyoke-lab';
    case 'max_connections':
      return instance.options.connections;
    case 'offline_mode':
      return instance.isLeaving ? 1 : 0;
    case 'autocommit':
      return 1;
    default:
      return null;
  }
}
