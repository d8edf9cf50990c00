/** See `claim.txt`. */
import { fileURLToPath } from 'node:url';
import { pause, until } from '../record.js';
import { isCalm, runCase } from '../run_case.js';
import { Site, configuration, route } from '../site.js';

/** `replica_lag`, `x = 200`: replicas are 200 times 8 ms behind. */
const LAG_MS = 1600;
/** `max_staleness_ms` of the route. */
const STALENESS_MS = 2500;
const ROUNDS = 3;
/** The proxy in the zone of replica b. */
const PROXY = 1;
/** `bounds.config_apply_ms`. */
const IN_FORCE_MS = 3000;

/** The route of `agenda` leads to a service; the route to the other service is removed. */
function configurationFor(version, service) {
  return configuration(
    version,
    [
      route('agenda', service, 'own_writes', {
        name: `r-agenda-${service}`,
        max_staleness_ms: STALENESS_MS,
      }),
      route('bookings', 'citas', 'primary'),
    ],
    ['citas', 'pagos'],
  );
}

async function play(record, cleanUp) {
  const site = new Site(record, cleanUp, {
    proxies: 2,
    services: { citas: ['a', 'b', 'c'], pagos: ['p', 'q', 'r'] },
  });
  let version = 1;
  await site.start(configurationFor(version, 'citas'));
  const { citas } = site.groups;
  // Other clients read from the primary of citas.
  void site.keepReading('1', PROXY, 'bookings');
  await site.runFirst('client-0', 0, 'bookings', 'WRITE slot-0 taken');
  await pause(4000);
  const laggards = citas.instances.filter(({ role }) => role === 'replica');
  for (const replica of laggards) {
    record.note('trouble', `replica ${replica.id} is ${LAG_MS} ms behind`);
    replica.lagMs = LAG_MS;
  }
  await pause(LAG_MS);

  const moveTo = async (service) => {
    if (isCalm) return;
    await site.deployment.configure(configurationFor(++version, service));
    await until(`${service} serves agenda`, IN_FORCE_MS, async () => {
      const { text = '' } = await site.runAlone('reader-2', PROXY, 'agenda', 'READ slot-0');
      return site.services[service].includes(text.split('.')[0]);
    });
  };
  const breaks = [];
  let playedRounds = 0;
  const session = await site.session('client-1', PROXY, 'agenda');
  for (let round = 1; round <= ROUNDS; round++) {
    const booked = await site.run(session, `WRITE slot-1 round-${round}`);
    await moveTo('pagos');
    await site.run(session, `WRITE slot-2 round-${round}`);
    await moveTo('citas');
    const seen = await site.run(session, 'READ slot-1');
    const run = citas.runs.findLast(({ id }) => id === seen.id);
    if (booked.outcome !== 'ok' || seen.outcome !== 'ok' || !run) continue;
    playedRounds++;
    if (isBefore(run.applied, booked.position)) {
      breaks.push(
        `STALE: ${run.instance} ran ${seen.id} with its log applied up to ${run.applied}; ` +
          `the same session's commit ${booked.id} at ${booked.position} was acknowledged before. ` +
          `The client got '${seen.rows[0]}' instead of 'round-${round}'`,
      );
    }
    await pause(STALENESS_MS);
  }
  session.close();
  if (playedRounds === 0) throw new Error('no round had its write and its read answered');
  return breaks;
}

/** Whether a position `TERM.NUMBER` is before another one. */
function isBefore(left, right) {
  const [leftTerm, leftNumber] = left.split('.').map(Number);
  const [rightTerm, rightNumber] = right.split('.').map(Number);
  return leftTerm < rightTerm || (leftTerm === rightTerm && leftNumber < rightNumber);
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play);
