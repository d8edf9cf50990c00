/** See `claim.txt`. */
import { fileURLToPath } from 'node:url';
import { pause, until } from '../record.js';
import { isCalm, runCase } from '../run_case.js';
import { Site, configuration, route } from '../site.js';

const SERVICE = 'citas';
/** `bounds.drain_timeout_ms`, and a little longer: how long c serves on after its acknowledgement. */
const SERVES_ON_MS = 7800;
/** `replica_lag`, `deaf`: how long the replicas receive nothing. */
const DEAF_MS = 6500;
/** `srv_crash`: how long the primary is down. */
const DOWN_MS = 7000;
/** `TROUBLE=draining-first`: c says `draining` and deregisters at its end, the rest is the same. */
const deregistersFirst = process.env.TROUBLE !== 'draining-first';

async function play(record, cleanUp) {
  const site = new Site(record, cleanUp, {
    proxies: 2,
    services: { [SERVICE]: ['a', 'b', 'c'] },
    spare: 2,
  });
  await site.start(configuration(1, [route('bookings', SERVICE, 'primary')], [SERVICE]));
  const group = site.groups[SERVICE];
  const [a, b, c] = group.instances;
  for (const proxy of [0, 1]) void site.keepReading(`${proxy + 1}`, proxy, 'bookings');
  await site.runFirst('client-1', 0, 'bookings', 'WRITE slot-1 taken');
  await site.runFirst('client-2', 1, 'bookings', 'WRITE slot-2 taken');

  // Planned: c and then the primary a are replaced by d and e, which start first. c deregisters
  // first and serves on; a says that it is draining.
  const d = site.addInstance(SERVICE, 'd', 'replica');
  const e = site.addInstance(SERVICE, 'e', 'replica');
  await d.start();
  await e.start();
  await pause(3000);
  await (deregistersFirst ? c.deregister() : c.drain());
  const leavesAt = performance.now() + SERVES_ON_MS;
  await a.drain();
  await until('another primary', 10_000, () => group.primary && group.primary !== a);
  const primary = group.primary;
  await pause(leavesAt - 1300 - performance.now());
  const others = [a, b, d, e].filter((instance) => instance !== primary);
  if (!isCalm) {
    for (const replica of others) {
      record.note('trouble', `replica ${replica.id} receives nothing`);
      replica.isDeaf = true;
      setTimeout(() => (replica.isDeaf = false), DEAF_MS);
    }
  }
  await pause(100);
  const { outcome, id } = await site.runAlone('client-1', 0, 'bookings', 'WRITE slot-3 taken');
  if (outcome !== 'ok') throw new Error('the write was not acknowledged');
  await pause(Math.max(0, leavesAt - performance.now()));
  if (!deregistersFirst) await c.deregister();
  c.end();
  await pause(200);
  if (!isCalm) {
    primary.crash();
    setTimeout(() => void primary.start(), DOWN_MS);
  }
  await pause(isCalm ? 3000 : DOWN_MS + 4000);
  site.isOver = true;
  site.deployment.noteEvents(['primary_change', 'primary_candidates']);
  return site.platform.promotions
    .filter(({ instance, log }) => instance !== primary && !log.includes(id))
    .map(
      ({ instance }) => `LOST: ${instance.id} was promoted without the acknowledged commit ${id}`,
    );
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play);
