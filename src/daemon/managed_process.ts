/**
 * Logs and runtime of the daemons for groups with appointed primaries. Owns the standard output of the process; relies on
 * its reader, which may stop to read: lines are dropped then, and counted.
 */
import type { Server } from 'node:http';
import { Gauge, type Registry } from 'prom-client';
import { messageOf } from '../errors/errors.js';
import { Events } from '../observability/events.js';
import { BoundedOutput } from '../observability/bounded_output.js';
import { DecisionLogger } from '../observability/decision_logger.js';
import { addGauge } from '../observability/gauges.js';
import { EventLogger } from '../observability/logger.js';
import { RealFolder } from '../runtime/real_folder.js';
import type { MessageTraffic } from '../runtime/message_traffic.js';
import type { DataFolder, Runtime } from '../runtime/runtime.js';
import { type MetricsSource, startMetricsServer } from './metrics_server.js';
import { openRealRuntime } from './real_runtime.js';

/** Settings of every process. */
interface ProcessSettings {
  readonly id: string;
  /** Address for messages of other processes. */
  readonly internal: string;
  /** Folder for durable state; a process without one keeps nothing. */
  readonly dataFolder?: string;
}

/** Runtime and logs of one process. */
export interface ManagedProcess {
  readonly runtime: Runtime;
  readonly logger: EventLogger;
  readonly decisions: DecisionLogger;
  /** Lines that were dropped since the start, since nobody read them in time. */
  readonly droppedLines: () => number;
  /** Internal messages since the start. */
  readonly traffic: MessageTraffic;
}

/** Time to open a connection to a peer, in milliseconds: more than a round trip between regions. Guess, not measured. */
export const PEER_CONNECT_TIMEOUT_MS = 120;
/** Time between two lines on internal messages, in milliseconds: one line of some hundred bytes. Guess, not measured. */
const TRAFFIC_LOG_MS = 10_000;
const NO_FOLDER_TEXT = 'this process has no data folder';

/** Opens logs, data folder and the internal listener. */
export async function openProcess(
  program: string,
  settings: ProcessSettings,
): Promise<ManagedProcess> {
  const output = new BoundedOutput();
  const logger = new EventLogger(program, { node: settings.id }, 'info', output);
  const { dataFolder } = settings;
  const runtime = await openRealRuntime({
    internal: settings.internal,
    sharedKey: undefined,
    connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    openFolder: () =>
      dataFolder === undefined ? Promise.resolve(noFolder()) : RealFolder.open(dataFolder),
  });
  const decisions = new DecisionLogger(logger, runtime.clock);
  const { traffic } = runtime.messenger;
  logTraffic(traffic, logger);
  return { runtime, logger, decisions, droppedLines: () => output.droppedLines, traffic };
}

/** Adds the number of log lines that were dropped to the metrics of a process. */
export function addDroppedLines(registry: Registry, droppedLines: () => number): void {
  const help = 'Log lines that were dropped because nobody read them in time';
  addGauge(registry, 'whinyoke_log_lines_dropped', help, droppedLines);
}

/** Adds internal messages and their bytes, by kind, to the metrics of a process. */
export function addMessageTraffic(registry: Registry, traffic: MessageTraffic): void {
  const labelNames = ['kind', 'direction'];
  const messages = new Gauge({
    name: 'whinyoke_messages',
    help: 'Internal messages since the start, by kind',
    labelNames,
    registers: [registry],
  });
  const bytes = new Gauge({
    name: 'whinyoke_message_bytes',
    help: 'Bytes of internal messages since the start, with their frames, by kind',
    labelNames,
    registers: [registry],
    collect: () => {
      for (const { kind, direction, ...count } of traffic.all) {
        messages.set({ kind, direction }, count.messages);
        bytes.set({ kind, direction }, count.bytes);
      }
    },
  });
}

/** Writes the bytes of internal messages since the start to the log now and then. */
function logTraffic(traffic: MessageTraffic, logger: EventLogger): void {
  const timer = setInterval(() => {
    const fields = traffic.all.map(({ kind, direction, bytes }): [string, number] => [
      `${kind}_${direction}`,
      bytes,
    ]);
    logger.event(Events.messageTraffic, Object.fromEntries(fields));
  }, TRAFFIC_LOG_MS);
  timer.unref();
}

/** Starts the metrics endpoint; a process serves on when that can't listen. */
export async function openMetrics(
  address: string | undefined,
  source: MetricsSource,
  logger: EventLogger,
): Promise<Server | undefined> {
  if (address === undefined) return undefined;
  try {
    return await startMetricsServer(address, source);
  } catch (error) {
    logger.event(Events.connectionError, { reason: `metrics: ${messageOf(error)}` });
    return undefined;
  }
}

/** Takes over the control machines of changed settings; logs them, or why the settings can't be taken over. */
export function reloadSeeds(
  readSeeds: () => readonly string[],
  logger: EventLogger,
  updateSeeds: (seeds: readonly string[]) => void,
): void {
  try {
    const seeds = readSeeds();
    logger.event(Events.settingsReloaded, { controls: seeds.join(' ') });
    updateSeeds(seeds);
  } catch (error) {
    logger.event(Events.settingsRefused, { reason: messageOf(error) });
  }
}

function noFolder(): DataFolder {
  const refuse = (): Promise<never> => Promise.reject(new Error(NO_FOLDER_TEXT));
  return {
    read: refuse,
    append: refuse,
    sync: refuse,
    replace: refuse,
    truncate: refuse,
    remove: refuse,
    list: refuse,
  };
}
