/** Connections to instances over TCP, as a process of the platform opens them. */
import { LinkConnector } from '../../platform/instance_link.js';
import { MatchingConnector } from '../../src/appointed/instance/matching_connector.js';
import type {
  InstanceTarget,
  OpenedConnection,
} from '../../src/appointed/instance/instance_connection.js';
import type { DecisionLog } from '../../src/observability/decision_logger.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const CONNECT_TIMEOUT_MS = 1000;

/** @param log - receives the events of answers that belong to no command */
export function linkTo(
  target: InstanceTarget,
  log: DecisionLog = () => undefined,
): Promise<OpenedConnection> {
  const connector = new MatchingConnector(new LinkConnector(), new RealClock(), log);
  return connector.connect(target, CONNECT_TIMEOUT_MS);
}
