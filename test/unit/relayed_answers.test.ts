/** Replies of connection owners that hold no answer of the instance. */
import t from 'tap';
import { BackendConnectionLostError } from '../../src/errors/errors.js';
import { OwnerHealth } from '../../src/appointed/relay/owner_health.js';
import { RelayedConnection } from '../../src/appointed/relay/relayed_connection.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const TIMEOUT_MS = 1000;

void t.test('a reply without an answer is no success', async (t) => {
  const relayReply = { outcome: whinyoke.RelayOutcome.ANSWERED };
  const messenger = { request: () => Promise.resolve({ relayReply }) };
  const health = new OwnerHealth(new RealClock(), messenger as never);
  const route = { instance: 'i', tenant: '', priority: 0, waitMs: 0, owners: ['owner'] };
  const connection = new RelayedConnection(route as never, { messenger, health } as never);
  const commit = connection.run({ kind: 'commit', id: 'q' }, TIMEOUT_MS);
  const error: unknown = await commit.catch((problem: unknown) => problem);
  t.ok(error instanceof BackendConnectionLostError && error.sent, 'it may have run');
});
