/** Changes of a settings file must not be missed, and signals must not end a process that starts or stops. */
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import t from 'tap';
import { watchSettings } from '../../src/daemon/settings_watcher.js';

void t.test('a change before the file was watched counts', (t) => {
  const file = join(t.testdir({ settings: 'new' }), 'settings');
  const seen: string[] = [];
  watchSettings(file, 'old', (text) => seen.push(text));
  t.same(seen, ['new']);
  process.emit('SIGHUP');
  t.same(seen, ['new'], 'the same content is no change');
  writeFileSync(file, 'newer');
  process.emit('SIGHUP');
  t.same(seen, ['new', 'newer']);
  process.removeAllListeners('SIGHUP');
  t.end();
});

/** Runs a program and sends it the next signal after each line that it prints; resolves with how it ended. */
function signalled(source: string, signals: readonly NodeJS.Signals[]): Promise<string> {
  const remaining = [...signals];
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', source]);
    child.stdout.on('data', () => child.kill(remaining.shift() ?? 0));
    child.once('exit', (code, signal) => resolve(String(code ?? signal)));
  });
}

// Guards against a graceful shutdown that a second SIGTERM cuts short.
void t.test('a second SIGTERM does not end a process that is stopping', async (t) => {
  const module = new URL('../../src/daemon/stop_signal.js', import.meta.url).href;
  const source = `
    import { stopSignal } from '${module}';
    setInterval(() => undefined, 1000);
    const stopped = stopSignal();
    console.log('ready');
    await stopped;
    console.log('stopping');
    setTimeout(() => process.exit(0), 300);
  `;
  t.equal(await signalled(source, ['SIGTERM']), '0');
  t.equal(await signalled(source, ['SIGTERM', 'SIGTERM']), '0');
});
