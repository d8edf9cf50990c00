#!/usr/bin/env node
/** Entry point of the `whinyoke-lab` program: everything that is not run in production. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { stopSignal } from '../../src/daemon/stop_signal.js';
import { WhinyokeError, messageOf } from '../../src/errors/errors.js';
import { PROTECTIONS } from '../../src/mysql/gateway/protections.js';
import { BENCHMARKS, runBenchmark } from '../bench/benchmarks.js';
import { publish } from '../bench/report.js';
import { runDatabase } from '../database/daemon.js';
import { deploymentOf } from '../fleet/deployment.js';
import { runDemo } from '../fleet/demo.js';
import { runFleet, runLoad } from '../fleet/load.js';
import { checkHistory } from '../history/checker.js';
import { parseHistory } from '../history/history.js';
import { runPlatform } from '../platform/daemon.js';
import { APPOINTED_DEPLOYMENTS } from '../appointed/appointed_deployment.js';
import type { AppointedFaultKind } from '../appointed/appointed_faults.js';
import { APPOINTED_PROTECTIONS } from '../appointed/disabled_protections.js';
import { explainRequest } from '../explain/explain.js';
import type { FaultKind } from '../simulation/faults.js';
import { faultsOf, nameableFaultsOf, runSimulateCommand } from '../simulation/simulate_command.js';

const labProgram = fileURLToPath(import.meta.url);
const proxyProgram = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));

const MS_PER_MINUTE = 60_000;

const settingsOption = { type: 'string', demandOption: true } as const;
const deploymentOption = {
  choices: ['quetzal', 'toplina'] as const,
  default: 'quetzal' as const,
  describe: 'deployment of the brief',
} as const;

const simulatedDeploymentOption = {
  choices: ['quetzal', 'toplina', ...APPOINTED_DEPLOYMENTS.keys()],
  default: 'quetzal',
  describe: 'deployment; appointed: primaries are appointed from outside',
} as const;

function readSeeds(text: string): { firstSeed: number; lastSeed: number } {
  const match = /^(\d+)(?:-(\d+))?$/.exec(text);
  if (!match) throw new WhinyokeError(`--seeds must be like 1-20, not '${text}'`);
  const firstSeed = Number(match[1]);
  const lastSeed = Number(match[2] ?? match[1]);
  if (lastSeed < firstSeed) throw new WhinyokeError(`--seeds: ${lastSeed} is before ${firstSeed}`);
  return { firstSeed, lastSeed };
}

function readFaults(
  deployment: string,
  text: string | undefined,
): readonly (FaultKind | AppointedFaultKind)[] {
  if (text === undefined) return faultsOf(deployment);
  const known = nameableFaultsOf(deployment);
  const names = text === 'none' ? [] : text.split(',');
  const unknown = names.find((name) => !(known as readonly string[]).includes(name));
  if (unknown === undefined) return names as (FaultKind | AppointedFaultKind)[];
  throw new WhinyokeError(`--faults: unknown '${unknown}'; known are ${known.join(', ')}`);
}

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
    'fleet',
    'run a deployment as processes until interrupted',
    (builder) => builder.option('deployment', deploymentOption),
    (parsed) => runFleet({ deployment: parsed.deployment, labProgram, proxyProgram }, stopSignal()),
  )
  .command(
    'load',
    'run a deployment under the workload and random faults, and check what callers saw',
    (builder) =>
      builder
        .option('deployment', deploymentOption)
        .option('seconds', { type: 'number', default: 20 })
        .option('sessions', { type: 'number', default: 12 })
        .option('faults', { type: 'boolean', default: true })
        .option('seed', { type: 'number', default: 1, describe: 'chooses the faults' })
        .option('history', { type: 'string', describe: 'file for the recorded history' }),
    async (parsed) => {
      const held = await runLoad({
        deployment: parsed.deployment,
        durationMs: parsed.seconds * 1000,
        sessions: parsed.sessions,
        withFaults: parsed.faults,
        seed: parsed.seed,
        historyFile: parsed.history,
        labProgram,
        proxyProgram,
      });
      process.exitCode = held ? 0 : 1;
    },
  )
  .command(
    'soak',
    'run a deployment for long under faults of processes, instances and links, and check what callers saw',
    (builder) =>
      builder
        .option('deployment', deploymentOption)
        .option('minutes', { type: 'number', default: 5 })
        .option('sessions', { type: 'number', default: 12 })
        .option('seed', { type: 'number', demandOption: true, describe: 'chooses the faults' }),
    async (parsed) => {
      const held = await runLoad({
        deployment: parsed.deployment,
        durationMs: parsed.minutes * MS_PER_MINUTE,
        sessions: parsed.sessions,
        withFaults: true,
        withLinks: true,
        keepsFailures: true,
        seed: parsed.seed,
        labProgram,
        proxyProgram,
      });
      console.log(`seed ${parsed.seed}: ${held ? 'passed' : 'FAILED'}`);
      process.exitCode = held ? 0 : 1;
    },
  )
  .command(
    'simulate',
    'run whole deployments under faults on virtual time',
    (builder) =>
      builder
        .option('deployment', simulatedDeploymentOption)
        .option('seeds', { type: 'string', default: '1-20', describe: 'first and last seed' })
        .option('faults', { type: 'string', describe: 'kinds of faults, joined by commas' })
        .option('disable', {
          choices: [...PROTECTIONS, ...APPOINTED_PROTECTIONS],
          describe: 'protection to switch off',
        })
        .option('jobs', { type: 'number', describe: 'worker threads' })
        .option('stop-at-failure', { type: 'boolean', default: false })
        .option('history', { type: 'string', describe: 'file for the last failed history' }),
    async (parsed) => {
      const held = await runSimulateCommand({
        deployment: parsed.deployment,
        ...readSeeds(parsed.seeds),
        faults: readFaults(parsed.deployment, parsed.faults),
        disabled: parsed.disable,
        jobs: parsed.jobs,
        stopAtFailure: parsed.stopAtFailure,
        historyFile: parsed.history,
      });
      process.exitCode = held ? 0 : 1;
    },
  )
  .command(
    'bench <name>',
    'run an experiment and report it',
    (builder) =>
      builder
        .positional('name', { choices: BENCHMARKS, demandOption: true })
        .option('deployment', deploymentOption)
        .option('out', { type: 'string', describe: 'folder for the report, as docs/measurements' }),
    async (parsed) => {
      const report = await runBenchmark(parsed.name, {
        deployment: deploymentOf(parsed.deployment),
        labProgram,
        proxyProgram,
      });
      publish(report, parsed.out);
    },
  )
  .command(
    'explain <request> <logs..>',
    'put the log lines of all processes around one request in order',
    (builder) =>
      builder
        .positional('request', { type: 'string', demandOption: true })
        .positional('logs', { type: 'string', array: true, demandOption: true })
        .option('around', { type: 'number', default: 5000, describe: 'milliseconds before it' }),
    (parsed) => {
      const texts = parsed.logs.map((file) => readFileSync(file, 'utf8'));
      const lines = explainRequest(parsed.request, texts, parsed.around);
      for (const line of lines) console.log(line);
      if (lines.length === 0) process.exitCode = 1;
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
