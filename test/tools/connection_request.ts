/** Requests for connections, for tests of pools. */
import type { ConnectionRequest } from '../../src/appointed/connections/pooled_connection.js';

const NO_VALUES: ReadonlyMap<string, string> = new Map();

/** Request of a priority and a tenant for a session with these values. */
export function connectionRequest(
  priority: number,
  values = NO_VALUES,
  tenant: string | undefined = '',
): ConnectionRequest {
  return { tenant, values, priority };
}
