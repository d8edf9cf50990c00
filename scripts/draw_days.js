/**
 * Draws days of two or three kinds of disruption each, every kind at least once, and writes them as files for
 * the users' bench. The same seed gives the same days.
 *
 * Usage: node scripts/draw_days.js SEED COUNT FOLDER SERVICE
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const TWO_TO_32 = 2 ** 32;
const DAY_SECONDS = 24;

/** Kinds and what they need beside their time. */
const FAULTS = [
  { kind: 'srv_crash', how: 'dark primary', for_s: 6 },
  { kind: 'srv_crash', how: 'primary', for_s: 6 },
  { kind: 'srv_cut', share: 0.4, for_s: 5, how: 'fronts' },
  { kind: 'srv_cut', share: 0.4, for_s: 5, how: 'one_way' },
  { kind: 'answer_lost', share: 0.5, x: 0.05, for_s: 5 },
  { kind: 'node_kill', share: 0.3, for_s: 3, how: 'power' },
  { kind: 'node_kill', on: 'core', count: 1, for_s: 3, how: 'leader' },
  { kind: 'herd_kill', share: 0.6, for_s: 2, how: 'power' },
  { kind: 'herd_kill', on: 'core', for_s: 1, how: 'off' },
  { kind: 'replace_core', x: 1.5, how: 'oldest' },
  { kind: 'after_ack_kill', for_s: 3, how: 'kill' },
  { kind: 'after_ack_wipe', for_s: 3 },
  { kind: 'clock_step', share: 0.5, x: 2500, for_s: 5, how: 'back' },
  { kind: 'reset_conns', share: 0.5, x: 0.7 },
  { kind: 'core_cut', count: 1, for_s: 5, how: 'leader' },
  { kind: 'core_cut', for_s: 5, how: 'split' },
  { kind: 'core_cut', for_s: 5, how: 'behind' },
  { kind: 'node_cut', share: 0.3, for_s: 5 },
  { kind: 'node_cut', share: 0.3, for_s: 5, how: 'all' },
  { kind: 'ack_lost', x: 0.7, for_s: 8 },
  { kind: 'replica_lag', share: 1, x: 100, for_s: 6 },
  { kind: 'replica_lag', share: 0.5, for_s: 6, how: 'deaf' },
  { kind: 'primary_cut', share: 0.5, for_s: 6, how: 'replicas' },
  { kind: 'primary_cut', share: 0.5, for_s: 6, how: 'core' },
  { kind: 'primary_cut', share: 0.5, for_s: 6, how: 'split' },
  { kind: 'node_freeze', share: 0.4, for_s: 4 },
  { kind: 'node_freeze', on: 'core', count: 1, for_s: 4, how: 'leader' },
  { kind: 'node_slow', share: 0.4, x: 5, for_s: 5 },
  { kind: 'disk_slow', count: 1, x: 30, for_s: 5, how: 'leader' },
  { kind: 'disk_full', count: 1, for_s: 5, how: 'leader' },
  { kind: 'disk_stall', count: 1, for_s: 5, how: 'leader' },
];
const PLANS = [
  { kind: 'release', how: 'primary' },
  { kind: 'release', share: 0.5, gap_s: 2 },
  { kind: 'roll_term', share: 0.5, gap_s: 1.5, how: 'busy' },
  { kind: 'seed_turnover' },
  { kind: 'config_storm', for_s: 4, gap_s: 0.2 },
  { kind: 'config_race', count: 3, gap_s: 1 },
  { kind: 'bad_config', count: 3, gap_s: 0.8 },
  { kind: 'big_config', count: 350 },
  { kind: 'hup', share: 0.5 },
];
const CLOSINGS = ['power_off_all', 'wipe_after_ack', 'kill_all'];

function createRandom(seed) {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / TWO_TO_32;
}

function entryText(entry, at) {
  const fields = Object.entries({ ...entry, at: Number(at.toFixed(2)) });
  const texts = fields.map(([name, value]) => `${name} = ${JSON.stringify(value)}`);
  return `  { ${texts.join(', ')} },`;
}

function dayText(name, seed, faults, plans, closing, random) {
  const draw = (entries) => entries.map((entry) => entryText(entry, 2 + random() * DAY_SECONDS));
  return [
    `name = "${name}"`,
    'slot = "trouble"',
    `seed = ${seed}`,
    `closing = { kind = "${closing}", down_s = 0.8 }`,
    'one = 1.0',
    'zero = 0.3',
    'goal = { floor = 0.3 }',
    'labels = []',
    'plan = [',
    ...draw(plans),
    ']',
    'faults = [',
    ...draw(faults),
    ']',
    '',
  ].join('\n');
}

const [seedText, countText, folder, service] = process.argv.slice(2);
const random = createRandom(Number(seedText));
mkdirSync(folder, { recursive: true });
for (let index = 0; index < Number(countText); index++) {
  const pick = (items) => items[Math.floor(random() * items.length)];
  const withService = (entry) =>
    /^(srv_|release|answer_lost|replica_lag|primary_cut)/.test(entry.kind)
      ? { ...entry, service }
      : entry;
  // The first fault goes through all kinds in turn.
  const faults = [FAULTS[index % FAULTS.length], pick(FAULTS)].map(withService);
  const plans = [PLANS[index % PLANS.length]].map(withService);
  const name = `drawn-${seedText}-${index + 1}`;
  const seed = Math.floor(random() * 2 ** 30);
  const text = dayText(name, seed, faults, plans, pick(CLOSINGS), random);
  writeFileSync(join(folder, `${name}.toml`), text);
}
