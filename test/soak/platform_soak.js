/**
 * Soak of the platform's interface: real proxies and control machines before the stand-ins of `review/`, under faults that come
 * in series and overlap. Callers keep using a proxy that stops until the process is gone, on sessions that stay and with a
 * connection for each operation; a request that a planned stop cuts off breaks a rule. A relay in front of the platform delivers
 * some calls late, and some of their callers are stopped or killed at the call. Instances answer twice at times, and some callers
 * send any bytes, any shapes, and texts that are no statements; the rules about statements hold for these.
 *
 *   node test/soak/platform_soak.js --seed N [--seconds S] [--proxies P] [--sessions C] [--streams F] [--stops F]
 *     [--odd C]
 *
 * The seed decides what is done in which order; times vary from run to run. Exit code 0: every rule held; 1: one was broken, and
 * the record of the run is kept in a temporary folder; 2: the run could not be made.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Record, pause } from '../../review/record.js';
import { configuration, route } from '../../review/site.js';
import { CallFaults } from './call_faults.js';
import { FaultStream } from './fault_stream.js';
import { OddCaller } from './odd_caller.js';
import { ALIKE_SHAPES } from './odd_texts.js';
import { PlannedStopStream } from './planned_stop_stream.js';
import { RelayedSite } from './relayed_site.js';
import { SoakClient } from './soak_client.js';
import { StatementLedger } from './statement_ledger.js';
import { statementBreaks } from './statement_rules.js';
import { StutterStream } from './stutter_stream.js';
import { StutteringPace } from './stuttering_instance.js';
import { Verdicts } from './verdicts.js';

const SERVICES = { citas: ['a', 'b', 'c'], pagos: ['p', 'q', 'r'] };
/** Instances that may be added in one run, at addresses after that of the platform. */
const SPARE_INSTANCES = 14;
const FIRST_SPARE_HOST = 41;
/** Undisturbed time at the end, in which every proxy must serve again. */
const CALM_MS = 14_000;
/** Log events of the processes that the record of a broken run contains. */
const LOGGED_EVENTS = [
  'role_changed',
  'appointment_call',
  'primary_change',
  'primary_candidates',
  '"stopping"',
  '"stopped"',
  'request_ended_by_stop',
  'unexpected_answer',
];
/** Share of the statements that instances delay. */
const DELAYED = 0.3;
/** Identifiers of callers that keep no ledger. */
const WITHOUT_LEDGER = /^reader-(?:\d+|end)-\d+$/;
const EXIT = { held: 0, broken: 1, impossible: 2 };

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    seconds: { type: 'string', default: '25' },
    proxies: { type: 'string', default: '4' },
    sessions: { type: 'string', default: '20' },
    streams: { type: 'string', default: '3' },
    stops: { type: 'string', default: '1' },
    odd: { type: 'string', default: '4' },
  },
});
const seed = Number(values.seed ?? '1');

/** Configuration with the routes of both services; the movable one leads to the named service. */
function configurationFor(version, agendaService) {
  const own = { max_staleness_ms: 2500, timeout_ms: 800 + (version % 3) };
  return configuration(
    version,
    [
      route('bookings', 'citas', 'primary'),
      route('payments', 'pagos', 'primary'),
      route('agenda', agendaService, 'own_writes', { name: `r-${agendaService}`, ...own }),
    ],
    Object.keys(SERVICES),
  );
}

async function run(record, closers) {
  const proxies = Number(values.proxies);
  const cleanUp = (close) => closers.push(close);
  const ledger = new StatementLedger((id) => WITHOUT_LEDGER.test(id));
  const pace = new StutteringPace(seed, DELAYED, ledger);
  const site = new RelayedSite(record, cleanUp, { proxies, services: SERVICES }, pace);
  const verdicts = new Verdicts(site);
  closers.push(() => noteEvents(site.deployment));
  await site.start(configurationFor(1, 'citas'));
  site.deployment.forgetFirstStart();
  for (let count = 0; count < SPARE_INSTANCES; count++) {
    site.hosts.push(`127.0.0.${FIRST_SPARE_HOST + count}`);
  }
  verdicts.watchPromotions();
  const state = { version: 1, configurationFor, startedAt: new Map() };
  const clients = [...Array(Number(values.sessions)).keys()].map(
    (number) => new SoakClient(site, verdicts, number, seed),
  );
  const oddCallers = [...Array(Number(values.odd)).keys()].map((number) => {
    const habits = { bytes: true, pieces: number % 2 === 0, shapes: ALIKE_SHAPES, values: true };
    const plan = { name: `reader-odd${number}`, seed: seed * 1000 + number };
    return new OddCaller(site, ledger, { ...plan, habits: { ...habits, unlisted: true } });
  });
  const callers = [...clients, ...oddCallers];
  const running = callers.map((caller) => caller.run());
  const kinds = [
    ...Array(Number(values.streams)).fill(FaultStream),
    ...Array(Number(values.stops)).fill(PlannedStopStream),
  ];
  const streams = kinds.map((Kind, number) => new Kind(site, state, verdicts, seed * 100 + number));
  streams.push(new StutterStream(site, state, verdicts, seed * 100 + streams.length + 1));
  const callFaults = new CallFaults(site, verdicts, seed * 100 + kinds.length);
  const endAt = performance.now() + Number(values.seconds) * 1000;
  const [struckCalls, ...counts] = await Promise.all(
    [callFaults, ...streams].map((stream) => stream.run(endAt)),
  );
  record.note('soak', 'calm');
  await pause(CALM_MS);
  for (const caller of callers) caller.stop();
  await Promise.all(running);
  verdicts.checkCalls();
  verdicts.checkPlannedStops();
  await verdicts.checkEnd(proxies);
  const logs = Object.values(site.groups).flatMap(newestLog);
  verdicts.breaks.push(...statementBreaks(ledger, logs));
  site.isOver = true;
  const faults = counts.reduce((sum, count) => sum + count, 0);
  const calls = `${site.relay.sentCalls.length} calls, ${struckCalls} of them struck`;
  const statements = `${ledger.outcomes.served} of ${ledger.outcomes.asked} odd requests served, ${pace.counts.doubled} answers doubled`;
  const summary = `${faults} faults, ${calls}, ${verdicts.summary}, ${statements}`;
  return { breaks: verdicts.breaks, summary };
}

/** Log of the primary, or of the instance that is furthest if there is none. */
function newestLog({ primary, instances }) {
  const running = instances.filter(({ isRunning }) => isRunning);
  running.sort((left, right) => right.term - left.term || right.log.length - left.log.length);
  return (primary ?? running[0])?.log ?? [];
}

function noteEvents(deployment) {
  if (deployment.folder) deployment.noteEvents(LOGGED_EVENTS);
}

const recordFile = join(mkdtempSync(join(tmpdir(), 'whinyoke-soak-')), 'record.txt');
const record = new Record(recordFile);
const closers = [];

function end(code, text) {
  for (const close of closers.reverse()) close();
  if (code !== EXIT.held) {
    record.lines.push('', text);
    record.write();
    console.log(`record: ${recordFile}`);
  }
  console.log(`seed ${seed}: ${text}`);
  process.exit(code);
}

for (const signal of ['SIGINT', 'SIGTERM'])
  process.once(signal, () => end(EXIT.impossible, signal));
try {
  const { breaks, summary } = await run(record, closers);
  if (breaks.length === 0) end(EXIT.held, `passed, ${summary}`);
  else end(EXIT.broken, `FAILED, ${summary}\n${breaks.slice(0, 8).join('\n')}`);
} catch (error) {
  end(EXIT.impossible, `the run could not be made: ${error.stack}`);
}
