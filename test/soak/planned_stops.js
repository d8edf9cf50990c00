/**
 * Regression test of planned stops: real control machines and proxies before the stand-ins of `review/`, with instances that take
 * their time. Proxies get SIGTERM while callers of all kinds keep arriving until their processes are gone. Each request that an
 * instance received, or that the process had the time to read, must have a whole answer before its connection ends.
 *
 *   node test/soak/planned_stops.js [--seed N] [--only PART-OF-NAME] [--runs R]
 *
 * Exit code 0: every rule held, or its trial is listed in KNOWN-RED.txt (`isKnownRed`); 1: another one was broken, and the record
 * is kept in a temporary folder; 2: the run could not be made.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Record, pause } from '../../review/record.js';
import { configuration, route } from '../../review/site.js';
import { PlannedStop } from './planned_stop.js';
import { between, seededRandom } from './random.js';
import { SlowSite } from './slow_site.js';

const SERVICE = 'citas';
/** The first and the last proxy are in one zone. */
const PROXIES = 4;
const FREEZE_MS = 1000;
const LIMIT_MS = 180_000;
const EXIT = { held: 0, broken: 1, impossible: 2 };
const LOGGED_EVENTS = ['"stopping"', '"stopped"', 'request_ended_by_stop', 'role_changed'];

const SCENARIOS = [
  {
    name: 'callers of all kinds keep arriving',
    plan: { proxies: [0], staying: 10, single: 10 },
  },
  {
    name: 'both proxies of a zone stop within a second',
    plan: { proxies: [0, 3], staying: 12, single: 12, gapMs: [0, 1000] },
  },
  {
    name: 'more signals and changed configurations arrive',
    plan: { proxies: [1], staying: 8, single: 8, disturb: signalAndConfigure },
  },
  {
    name: 'a process stops that has just started',
    plan: { proxies: [2], staying: 6, single: 6, startedMs: [250, 950] },
  },
  {
    name: 'large answers go to callers that read slowly',
    plan: { proxies: [3], staying: 2, single: 4, largeReaders: 6 },
  },
  {
    name: 'a process is frozen for a second while it stops',
    plan: { proxies: [1], staying: 8, single: 8, disturb: (trial) => freeze(trial, [500, 3800]) },
  },
  {
    name: 'a process is frozen until its stop has no time left',
    isKnownRed: true,
    plan: { proxies: [1], staying: 8, single: 8, disturb: (trial) => freeze(trial, [4550, 4700]) },
  },
];

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    only: { type: 'string', default: '' },
  },
});
const folder = mkdtempSync(join(tmpdir(), 'whinyoke-planned-stops-'));
let closers = [];
let version = 1;

function nextConfiguration() {
  const timeouts = { timeout_ms: 800 + (version % 2) };
  return configuration(
    version++,
    [
      route('bookings', SERVICE, 'primary', timeouts),
      route('agenda', SERVICE, 'own_writes', { max_staleness_ms: 2500, ...timeouts }),
    ],
    [SERVICE],
  );
}

async function signalAndConfigure(trial) {
  const [proxy] = trial.plan.proxies;
  for (let time = 0; time < 6; time++) {
    await pause(between(100, 1000, trial.random));
    const choice = trial.random();
    if (choice < 0.35) trial.signal(proxy, 'SIGTERM');
    else if (choice < 0.7) trial.signal(proxy, 'SIGHUP');
    else await trial.site.deployment.configure(nextConfiguration());
  }
}

/** Freezes the process at a time after the signal. */
async function freeze(trial, atMs) {
  const [proxy] = trial.plan.proxies;
  await pause(between(...atMs, trial.random));
  trial.signal(proxy, 'SIGSTOP');
  await pause(FREEZE_MS);
  trial.signal(proxy, 'SIGCONT');
}

function closeAll() {
  for (const close of closers.reverse()) close();
  closers = [];
}

/** Plays one scenario; resolves with whether it ended as expected. */
async function check(site, { name, plan, isKnownRed = false }, seed) {
  site.record.lines.push('', name);
  const { breaks, summary } = await new PlannedStop(site, plan, seededRandom(seed)).run();
  site.record.lines.push(...summary, ...breaks);
  const hasPassed = breaks.length === 0;
  const mark = isKnownRed ? ' # TODO see KNOWN-RED.txt' : '';
  console.log(`${hasPassed ? 'ok' : 'not ok'} - ${name}, seed ${seed}${mark}`);
  for (const text of [...summary, ...breaks.slice(0, 12)]) console.log(`  # ${text}`);
  if (!hasPassed) console.log(`  # ${breaks.length} breaks, record: ${site.record.file}`);
  return { hasPassed, isExpected: hasPassed || isKnownRed };
}

/** All scenarios on one site; resolves with whether they ended as expected. */
async function run(scenarios, seed) {
  const record = new Record(join(folder, `seed-${seed}.txt`));
  const plan = { proxies: PROXIES, services: { [SERVICE]: ['a', 'b', 'c'] } };
  const site = new SlowSite(record, (close) => closers.push(close), plan, seed);
  version = 1;
  const results = [];
  try {
    await site.start(nextConfiguration());
    for (const scenario of scenarios) results.push(await check(site, scenario, seed));
    return results.every(({ isExpected }) => isExpected);
  } finally {
    const haveAllPassed =
      results.length === scenarios.length && results.every(({ hasPassed }) => hasPassed);
    if (!haveAllPassed) {
      if (site.deployment.folder) site.deployment.noteEvents(LOGGED_EVENTS);
      record.write();
    }
    closeAll();
  }
}

for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => {
    closeAll();
    process.exit(EXIT.impossible);
  });
}
setTimeout(
  () => {
    closeAll();
    console.log(`not done within ${LIMIT_MS} ms a run`);
    process.exit(EXIT.impossible);
  },
  LIMIT_MS * Number(values.runs),
).unref();

let hasFailed = false;
const chosen = SCENARIOS.filter(({ name }) => name.includes(values.only));
try {
  for (let count = 0; count < Number(values.runs); count++) {
    if (!(await run(chosen, Number(values.seed) + count))) hasFailed = true;
  }
} catch (error) {
  console.log(`the run could not be made: ${error.stack}\nrecords: ${folder}`);
  process.exit(EXIT.impossible);
}
process.exit(hasFailed ? EXIT.broken : EXIT.held);
