/** Creates connection requests for tests of pools. */
import type { ConnectionRequest } from '../../src/appointed/connections/pooled_connection.js';

const NO_VALUES: ReadonlyMap<string, string> = new Map();

/** Request with a priority, session values and a tenant. */
export function connectionRequest(
  priority: number,
  values = NO_VALUES,
  tenant: string | undefined = '',
): ConnectionRequest {
  return { tenant, values, priority };
}
