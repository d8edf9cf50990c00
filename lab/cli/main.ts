#!/usr/bin/env node
/** Entry point of the `whinyoke-lab` program: everything that is not run in production. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { messageOf } from '../../src/errors/errors.js';
import { runDatabase } from '../database/daemon.js';
import { runDemo } from '../fleet/demo.js';
import { checkHistory } from '../history/checker.js';
import { parseHistory } from '../history/history.js';
import { runPlatform } from '../platform/daemon.js';

const labProgram = fileURLToPath(import.meta.url);
const proxyProgram = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));

const settingsOption = { type: 'string', demandOption: true } as const;
const deploymentOption = {
  choices: ['quetzal', 'toplina'] as const,
  default: 'quetzal' as const,
  describe: 'deployment of the brief',
} as const;

function checkFile(file: string): void {
  const violations = checkHistory(parseHistory(readFileSync(file, 'utf8')));
  for (const violation of violations) console.log(`${violation.check}: ${violation.message}`);
  console.log(`${violations.length} violations`);
  if (violations.length > 0) process.exitCode = 1;
}

const commands = yargs(hideBin(process.argv))
  .scriptName('whinyoke-lab')
  .command(
    'database',
    'run one emulated database instance',
    (builder) => builder.option('settings', settingsOption),
    (parsed) => runDatabase(parsed.settings),
  )
  .command(
    'platform',
    "run the platform's list of machines",
    (builder) => builder.option('settings', settingsOption),
    (parsed) => runPlatform(parsed.settings),
  )
  .command(
    'demo',
    'run a whole deployment, kill a primary, show what callers saw',
    (builder) =>
      builder
        .option('deployment', deploymentOption)
        .option('seconds', { type: 'number', default: 12 })
        .option('sessions', { type: 'number', default: 12 })
        .option('history', { type: 'string', describe: 'file for the recorded history' }),
    async (parsed) => {
      const held = await runDemo({
        deployment: parsed.deployment,
        durationMs: parsed.seconds * 1000,
        sessions: parsed.sessions,
        historyFile: parsed.history,
        labProgram,
        proxyProgram,
      });
      process.exitCode = held ? 0 : 1;
    },
  )
  .command(
    'check <history>',
    'check a recorded history',
    (builder) => builder.positional('history', { type: 'string', demandOption: true }),
    (parsed) => checkFile(parsed.history),
  )
  .demandCommand(1)
  .strict()
  .fail((message, error) => {
    throw error ?? new Error(message);
  });

try {
  await commands.parseAsync();
} catch (error) {
  console.error(messageOf(error));
  process.exit(1);
}
