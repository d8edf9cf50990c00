/**
 * Command line of the programs. Guards against invalid input that gives a stack trace or exit code 0, and against operator
 * commands that fail or report the wrong outcome.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t, { type Test } from 'tap';
import { stringify } from 'yaml';
import { configurationFor } from '../../lab/fleet/layout.js';
import { PROXY_PROGRAM, startLocalFleet } from '../tools/local_fleet.js';

interface Outcome {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

function run(...parameters: string[]): Promise<Outcome> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [PROXY_PROGRAM, ...parameters],
      { timeout: 20_000 },
      (error, stdout, stderr) => {
        const code = typeof error?.code === 'number' ? error.code : error ? -1 : 0;
        resolve({ code, output: stdout, errors: stderr });
      },
    );
  });
}

function oneLine(t: Test, outcome: Outcome, message: RegExp): void {
  t.not(outcome.code, 0);
  t.match(outcome.errors, message);
  t.equal(outcome.errors.trim().split('\n').length, 1, outcome.errors);
}

void t.test(
  'invalid settings and documents give one error line and a non-zero exit code',
  async (t) => {
    const folder = mkdtempSync(join(tmpdir(), 'whinyoke-commands-'));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const file = (name: string, content: unknown): string => {
      const path = join(folder, name);
      writeFileSync(path, typeof content === 'string' ? content : stringify(content));
      return path;
    };
    file('key', 'secret\n');
    file('empty', '');
    const control = {
      data_folder: 'data',
      internal: '127.0.0.1:0',
      controls: ['127.0.0.1:7001'],
      shared_key_file: 'key',
    };

    oneLine(t, await run('control', '--settings', join(folder, 'none')), /none.*ENOENT/);
    const unknown = file('unknown.yaml', { ...control, colour: 'red' });
    oneLine(t, await run('control', '--settings', unknown), /unknown.yaml:6.*colour/);
    const noKey = file('no-key.yaml', { ...control, shared_key_file: 'empty' });
    oneLine(t, await run('control', '--settings', noKey), /empty: is empty/);
    const noFolder = file('folder.yaml', { ...control, data_folder: 'key' });
    oneLine(t, await run('control', '--settings', noFolder), /EEXIST|ENOTDIR/);
    oneLine(
      t,
      await run('validate', file('bad.yaml', 'name: x\ngroups: 7\n')),
      /bad.yaml:2.*groups/,
    );
    oneLine(t, await run('nonsense'), /nonsense/);

    const server = createServer();
    const port = await new Promise<number>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port));
    });
    t.teardown(() => server.close());
    const inUse = file('in-use.yaml', { ...control, internal: `127.0.0.1:${port}` });
    oneLine(t, await run('control', '--settings', inUse), /EADDRINUSE/);
  },
);

void t.test('operator commands validate, apply and report configurations', async (t) => {
  const local = await startLocalFleet();
  t.teardown(() => local.stop());
  const { layout } = local.fleet;
  const settings = join(local.folder, 'operator.yaml');
  const controls = layout.controls.map((place) => place.internal);
  writeFileSync(settings, stringify({ controls, shared_key_file: 'shared.key' }));
  const document = join(local.folder, 'quetzal.yaml');
  writeFileSync(document, configurationFor(layout));

  const validated = await run('validate', document);
  t.equal(validated.code, 0);
  const applied = await run('apply', document, '--settings', settings, '--wait', '--base', '1');
  t.equal(applied.code, 0, applied.errors);
  t.match(applied.output, /quetzal: accepted verdict=ran revision=2/);
  t.match(applied.output, /in force on 3 of 3 proxies/);
  const stale = await run('apply', document, '--settings', settings, '--base', '1');
  t.not(stale.code, 0);
  t.match(stale.output, /conflict verdict=not_run.*changed in revision 2/);
  const status = await run('status', '--settings', settings, '--json');
  const parsed = JSON.parse(status.output) as { revision: number; proxies: unknown[] };
  t.equal(parsed.revision, 2);
  t.equal(parsed.proxies.length, 3);
  t.match((await run('status', '--settings', settings)).output, /accepted revision: 2/);
  t.match((await run('history', '--settings', settings)).output, /2 apply quetzal by/);
  const wrongKey = join(local.folder, 'wrong.yaml');
  writeFileSync(wrongKey, stringify({ controls, shared_key_file: 'caller.password' }));
  oneLine(t, await run('status', '--settings', wrongKey), /no control machine answers/);
});
