#!/usr/bin/env node
/** Entry point of the `whinyoke` program. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runControl } from '../mysql/daemon/control_daemon.js';
import { runProxy } from '../mysql/daemon/proxy_daemon.js';
import { messageOf } from '../errors/errors.js';
import {
  type SubmissionOptions,
  applyFiles,
  printHistory,
  printStatus,
  validateFiles,
  withdrawDocument,
} from './operator_commands.js';

const DEFAULT_TIMEOUT_MS = 10_000;

const settingsOption = {
  type: 'string',
  demandOption: true,
  describe: 'settings file of this process',
} as const;

const submissionOptions = {
  settings: settingsOption,
  base: { type: 'number', describe: 'revision that the document was written against' },
  submission: { type: 'string', describe: 'identifier of an earlier try, to resend it safely' },
  operator: { type: 'string', describe: 'name shown in the history; default: your login name' },
  wait: {
    type: 'boolean',
    default: false,
    describe: 'wait until in force on every live proxy',
  },
  timeout: { type: 'number', default: DEFAULT_TIMEOUT_MS, describe: 'longest wait, in ms' },
} as const;

function toOptions(parsed: {
  settings: string;
  base?: number;
  submission?: string;
  operator?: string;
  wait: boolean;
  timeout: number;
}): SubmissionOptions {
  return { ...parsed, timeoutMs: parsed.timeout };
}

function fail(error: unknown): void {
  console.error(messageOf(error));
  process.exitCode = 1;
}

const commands = yargs(hideBin(process.argv))
  .scriptName('whinyoke')
  .command(
    'proxy',
    'run a proxy',
    (builder) => builder.option('settings', settingsOption),
    (parsed) => runProxy(parsed.settings),
  )
  .command(
    'control',
    'run a control machine',
    (builder) =>
      builder.option('settings', settingsOption).option('recover-alone', {
        type: 'boolean',
        default: false,
        describe: 'begin a new cluster from this disk after the others were lost for good',
      }),
    (parsed) => runControl(parsed.settings, parsed.recoverAlone),
  )
  .command(
    'apply <files..>',
    'submit whole configuration documents',
    (builder) =>
      builder
        .positional('files', { type: 'string', array: true, demandOption: true })
        .options(submissionOptions),
    (parsed) => applyFiles(parsed.files, toOptions(parsed)),
  )
  .command(
    'withdraw <name>',
    'withdraw a configuration document',
    (builder) =>
      builder.positional('name', { type: 'string', demandOption: true }).options(submissionOptions),
    (parsed) => withdrawDocument(parsed.name, toOptions(parsed)),
  )
  .command(
    'status',
    'show control machines, proxies, groups and limits in use',
    (builder) =>
      builder
        .option('settings', settingsOption)
        .option('json', { type: 'boolean', default: false }),
    (parsed) => printStatus(parsed.settings, parsed.json),
  )
  .command(
    'history',
    'show accepted changes, newest first',
    (builder) =>
      builder
        .option('settings', settingsOption)
        .option('limit', { type: 'number', default: 20 })
        .option('json', { type: 'boolean', default: false }),
    (parsed) => printHistory(parsed.settings, parsed.limit, parsed.json),
  )
  .command(
    'validate <files..>',
    'check configuration documents without sending them',
    (builder) => builder.positional('files', { type: 'string', array: true, demandOption: true }),
    (parsed) => validateFiles(parsed.files),
  )
  .demandCommand(1)
  .strict()
  .fail((message, error) => {
    throw error ?? new Error(message);
  });

try {
  await commands.parseAsync();
} catch (error) {
  fail(error);
  // A daemon that failed to start may have open listeners, which would keep the process alive.
  process.exit(1);
}
