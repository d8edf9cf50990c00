/** Opens connections to instances whose answers are matched with commands. */
import type { Clock } from '../../runtime/runtime.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import { NO_TENANT } from '../tenancy/tenant.js';
import type { InstanceChannelConnector } from './instance_channel.js';
import type { InstanceConnector, InstanceTarget, OpenedConnection } from './instance_connection.js';
import { MatchedConnection } from './matched_connection.js';

export class MatchingConnector implements InstanceConnector {
  constructor(
    private readonly channels: InstanceChannelConnector,
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** @throws ConnectError */
  async connect(
    target: InstanceTarget,
    timeoutMs: number,
    tenant = NO_TENANT,
  ): Promise<OpenedConnection> {
    const channel = await this.channels.open(target.address, timeoutMs);
    const connection = new MatchedConnection(channel, this.clock, (unexpected) =>
      this.log(Events.unexpectedAnswer, { instance: target.id, ...unexpected }),
    );
    try {
      const position = await connection.start(target, tenant, timeoutMs);
      return { connection, position };
    } catch (error) {
      connection.close();
      throw error;
    }
  }
}
