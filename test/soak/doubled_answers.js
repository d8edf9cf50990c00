/**
 * Regression test of answers and messages taken for others: real control machines and a proxy before instances that answer twice and
 * refuse statements, and callers that send any bytes, any shapes, and texts that are no statements. Every rule about statements must
 * hold, and the group must stay in service.
 *
 *   node test/soak/doubled_answers.js [--seed N] [--seconds S] [--only PART-OF-NAME] [--keep]
 *
 * Each scenario runs for S seconds on a fleet of its own. Exit code 0: every rule held; 1: one was broken, and the record is kept in a
 * temporary folder (with --keep always); 2: the run could not be made.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Record, pause, until } from '../../review/record.js';
import { configuration, route } from '../../review/site.js';
import { OddCaller } from './odd_caller.js';
import { ALIKE_SHAPES, PLAIN_SHAPES } from './odd_texts.js';
import { RelayedSite } from './relayed_site.js';
import { StatementLedger } from './statement_ledger.js';
import { countByRule, staleBreaks, statementBreaks } from './statement_rules.js';
import { StutteringPace } from './stuttering_instance.js';

const SERVICE = 'citas';
const PROXIES = 1;
const CALLERS = 10;
/** Time in which the last copies arrive and the last commits reach the replicas. */
const SETTLED_MS = 500;
const PRIMARY_MS = 20_000;
/** Most requests of the second half of a run that may be left unserved, without refusals by instances. */
const MOST_UNSERVED = 0.05;
const SHOWN_BREAKS = 8;
const SHOWN_REFUSALS = 4;
const EXIT = { held: 0, broken: 1, impossible: 2 };
const LOGGED_EVENTS = ['unexpected_answer', 'role_changed', 'no answer within'];
const USUAL_HABITS = { shapes: PLAIN_SHAPES, values: true };

const SCENARIOS = [
  { name: 'plain', habits: USUAL_HABITS },
  { name: 'any bytes', habits: { bytes: true, values: true } },
  { name: 'any bytes in pieces', habits: { bytes: true, values: true, pieces: true } },
  { name: 'shapes that continue like others', habits: { shapes: ALIKE_SHAPES } },
  { name: 'unlisted statements', habits: { unlisted: true } },
  {
    name: 'each tenth answer twice',
    habits: USUAL_HABITS,
    faults: { doubled: 0.1, longestMs: 60 },
  },
  {
    name: 'each fiftieth answer twice, up to 2 s later',
    habits: USUAL_HABITS,
    faults: { doubled: 0.02, longestMs: 2000 },
  },
  {
    name: 'copies that are many answers late',
    habits: { ...USUAL_HABITS, thinkMs: 0 },
    faults: { doubled: 0.05, longestMs: 4000 },
  },
  {
    name: 'each twentieth answer twice',
    habits: USUAL_HABITS,
    faults: { doubled: 0.05, longestMs: 60 },
  },
  {
    name: 'each fifth answer twice, and refusals',
    habits: USUAL_HABITS,
    faults: { doubled: 0.2, longestMs: 60, refused: 0.3 },
    mostUnserved: 0.6,
  },
];

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '5' },
    only: { type: 'string', default: '' },
    keep: { type: 'boolean', default: false },
  },
});
const seed = Number(values.seed);
const folder = mkdtempSync(join(tmpdir(), 'whinyoke-doubled-answers-'));
let closers = [];

const CONFIGURATION = configuration(
  1,
  [
    route('bookings', SERVICE, 'primary'),
    route('agenda', SERVICE, 'own_writes', { max_staleness_ms: 2500 }),
  ],
  [SERVICE],
);

function closeAll() {
  for (const close of closers.reverse()) close();
  closers = [];
}

function quantile(sorted, share) {
  return sorted[Math.floor(sorted.length * share)]?.toFixed(1) ?? '-';
}

function latencies(ledger, kind) {
  const sorted = ledger.latenciesOf(kind);
  return `${kind}s median ${quantile(sorted, 0.5)} ms, 99th percentile ${quantile(sorted, 0.99)} ms`;
}

/** Lines that tell what a scenario gave. */
function summaryOf(ledger, { doubled, connections, ownCommands }, unserved) {
  const { asked, served, refused, inDoubt, cut } = ledger.outcomes;
  const ownShare = (ownCommands / Math.max(1, asked)).toFixed(2);
  return [
    `asked ${asked}, served ${served}, refused ${refused}, in doubt ${inDoubt}, cut ${cut}, sessions closed ${ledger.closedSessions}`,
    `answers doubled ${doubled}, connections opened ${connections}, own commands a request ${ownShare}, unserved in the second half ${(100 * unserved).toFixed(1)} %`,
    `${latencies(ledger, 'read')}; ${latencies(ledger, 'write')}`,
    ...ledger.refusals.slice(0, SHOWN_REFUSALS).map(([text, count]) => `refused ${count}: ${text}`),
  ];
}

/** Lets callers ask for a time; resolves with the share of the requests of the second half that were not served. */
async function load(site, ledger, habits) {
  const plans = [...Array(CALLERS).keys()].map((number) => ({
    name: `reader-c${number}`,
    seed: seed * 1000 + number,
    habits,
  }));
  const callers = plans.map((plan) => new OddCaller(site, ledger, plan));
  const running = callers.map((caller) => caller.run());
  const halfMs = Number(values.seconds) * 500;
  await pause(halfMs);
  const middle = performance.now();
  await pause(halfMs);
  for (const caller of callers) caller.stop();
  await Promise.all(running);
  return ledger.unservedShareSince(middle);
}

/** Plays one scenario; resolves with whether every rule held. */
async function check({ name, habits = {}, faults = {}, mostUnserved = MOST_UNSERVED }, number) {
  const record = new Record(join(folder, `${number}.txt`));
  const ledger = new StatementLedger();
  const pace = new StutteringPace(seed * 100 + number, 0, ledger);
  const plan = { proxies: PROXIES, services: { [SERVICE]: ['a', 'b', 'c'] } };
  const site = new RelayedSite(record, (close) => closers.push(close), plan, pace);
  await site.start(CONFIGURATION);
  await site.runFirst('reader-first', 0, 'bookings', 'WRITE first done');
  ledger.isOthers = (id) => id.startsWith('reader-first-');
  pace.counts = { connections: 0, doubled: 0, ownCommands: 0 };
  pace.faults = faults;
  const unserved = await load(site, ledger, habits);
  const counts = { ...pace.counts };
  pace.faults = {};
  await pause(SETTLED_MS);
  const group = site.groups[SERVICE];
  await until('a primary leads', PRIMARY_MS, () => group.primary);
  const breaks = [...statementBreaks(ledger, group.primary.log), ...staleBreaks(ledger)];
  if (unserved > mostUnserved) breaks.push(`SERVICE: ${Math.round(100 * unserved)} % not served`);
  const lines = [...summaryOf(ledger, counts, unserved), `broken: ${countByRule(breaks)}`];
  const hasPassed = breaks.length === 0;
  console.log(`${hasPassed ? 'ok' : 'not ok'} - ${name}, seed ${seed}`);
  for (const text of [...lines, ...breaks.slice(0, SHOWN_BREAKS)]) console.log(`  # ${text}`);
  if (!hasPassed || values.keep) {
    site.deployment.noteEvents(LOGGED_EVENTS);
    record.lines.push('', name, ...lines, ...breaks);
    record.write();
    console.log(`  # record: ${record.file}`);
  }
  return hasPassed;
}

for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => {
    closeAll();
    process.exit(EXIT.impossible);
  });
}

let hasFailed = false;
try {
  for (const [number, scenario] of SCENARIOS.entries()) {
    if (!scenario.name.includes(values.only)) continue;
    if (!(await check(scenario, number))) hasFailed = true;
    closeAll();
  }
} catch (error) {
  closeAll();
  console.log(`the run could not be made: ${error.stack}`);
  process.exit(EXIT.impossible);
}
process.exit(hasFailed ? EXIT.broken : EXIT.held);
