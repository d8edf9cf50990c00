/**
 * Soak of the platform's interface: real proxies and control machines before the stand-ins of `review/`, under faults that come
 * in series and overlap. Sessions keep using their connections until the process is gone.
 *
 *   node test/soak/platform_soak.js --seed N [--seconds S] [--proxies P] [--sessions C] [--streams F]
 *
 * The seed decides what is done in which order; times vary from run to run. Exit code 0: every rule held; 1: one was broken, and
 * the record of the run is kept in a temporary folder; 2: the run could not be made.
 */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Record, pause } from '../../review/record.js';
import { Site, configuration, route } from '../../review/site.js';
import { FaultStream } from './fault_stream.js';
import { SoakClient } from './soak_client.js';
import { Verdicts } from './verdicts.js';

const SERVICES = { citas: ['a', 'b', 'c'], pagos: ['p', 'q', 'r'] };
/** Instances that may be added in one run, at addresses after that of the platform. */
const SPARE_INSTANCES = 14;
const FIRST_SPARE_HOST = 41;
/** Undisturbed time at the end, in which every proxy must serve again. */
const CALM_MS = 14_000;
const EXIT = { held: 0, broken: 1, impossible: 2 };

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    seconds: { type: 'string', default: '25' },
    proxies: { type: 'string', default: '3' },
    sessions: { type: 'string', default: '10' },
    streams: { type: 'string', default: '3' },
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
  const site = new Site(record, cleanUp, { proxies, services: SERVICES });
  const verdicts = new Verdicts(site);
  await site.start(configurationFor(1, 'citas'));
  forgetFirstStart(site.deployment);
  for (let count = 0; count < SPARE_INSTANCES; count++) {
    site.hosts.push(`127.0.0.${FIRST_SPARE_HOST + count}`);
  }
  verdicts.watchPromotions();
  const state = { version: 1, configurationFor, startedAt: new Map() };
  const clients = [...Array(Number(values.sessions)).keys()].map(
    (number) => new SoakClient(site, verdicts, number, seed),
  );
  const running = clients.map((client) => client.run());
  const streams = [...Array(Number(values.streams)).keys()].map(
    (number) => new FaultStream(site, state, verdicts, seed * 100 + number),
  );
  const until = performance.now() + Number(values.seconds) * 1000;
  const counts = await Promise.all(streams.map((stream) => stream.run(until)));
  record.note('soak', 'calm');
  await pause(CALM_MS);
  for (const client of clients) client.stop();
  await Promise.all(running);
  await verdicts.checkEnd(proxies);
  site.isOver = true;
  const faults = counts.reduce((sum, count) => sum + count, 0);
  return { breaks: verdicts.breaks, summary: `${faults} faults, ${verdicts.summary}` };
}

/** Control machines found their cluster at their very first start only. */
function forgetFirstStart({ folder, controls }) {
  for (const index of controls.keys()) {
    const file = join(folder, `core-${index + 1}.conf`);
    writeFileSync(file, readFileSync(file, 'utf8').replace('bootstrap=true', 'bootstrap=false'));
  }
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
