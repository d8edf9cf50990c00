/** Guards against a statement that is sent to an evacuated zone after it was closed, because it waited for its session's values. */
import t from 'tap';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { SingleProxyHarness } from '../tools/single_proxy_harness.js';

const CLOSED_AFTER_MS = DEFAULT_PLACEMENT_RULES.evacuationMs / 2;
/** Time around the closing in which a write starts each millisecond; the zone counts from before the order was received. */
const MARGIN_MS = 300;

void t.test('nothing is sent to a closed zone after the values of a session', async (t) => {
  const proxy = new SingleProxyHarness({ a: 'z1', b: 'z2' });
  await proxy.start();
  const sessions = Array.from({ length: 2 * MARGIN_MS }, () => proxy.session('own'));
  for (const [index, session] of sessions.entries()) {
    await session.execute({ kind: 'set', name: 'a', value: String(index) });
  }
  proxy.setEvacuation('z1', true);
  await proxy.run(CLOSED_AFTER_MS - MARGIN_MS);
  let closedAt = Infinity;
  const writes = [];
  for (const session of sessions) {
    if (proxy.core.instances.evacuationStageOf('a') === 'closed')
      closedAt = Math.min(closedAt, proxy.now);
    writes.push(session.write());
    await proxy.run(1);
  }
  await proxy.runUntilSettled(Promise.allSettled(writes));
  t.not(closedAt, Infinity);
  const late = proxy.sentCommands.filter(
    ({ at, instance, command }) => instance === 'a' && command.kind === 'data' && at >= closedAt,
  );
  t.same(
    late.map(({ at }) => at - closedAt),
    [],
  );
});
