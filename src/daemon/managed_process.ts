/**
 * Logging, metrics and runtime of the daemons for groups with appointed primaries. Log lines are dropped and counted while
 * the reader of standard output does not keep up, so that a stalled log reader cannot block the daemon.
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
import type { DataFolder } from '../runtime/runtime.js';
import { type MetricsSource, startMetricsServer } from './metrics_server.js';
import { type ProcessRuntime, openRealRuntime } from './real_runtime.js';

/** Settings of every process. */
interface ProcessSettings {
  readonly id: string;
  /** Address for messages of other processes. */
  readonly internal: string;
  /** Folder for durable state; a process without one has no durable state. */
  readonly dataFolder?: string;
}

/** Runtime and loggers of one process. */
export interface ManagedProcess {
  readonly runtime: ProcessRuntime;
  readonly logger: EventLogger;
  readonly decisions: DecisionLogger;
  /** Number of log lines dropped since the start because the output buffer was full. */
  readonly droppedLines: () => number;
  /** Counts of internal messages since the start. */
  readonly traffic: MessageTraffic;
}

/** Timeout for opening a connection to a peer, in milliseconds; longer than a round trip between regions. */
export const PEER_CONNECT_TIMEOUT_MS = 120;
/** Interval between log lines on internal messages, in milliseconds. */
const TRAFFIC_LOG_INTERVAL_MS = 10_000;
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
    logger,
  });
  const decisions = new DecisionLogger(logger, runtime.clock);
  const { traffic } = runtime.messenger;
  logTraffic(traffic, logger);
  return { runtime, logger, decisions, droppedLines: () => output.droppedLines, traffic };
}

/** Adds a gauge for the number of dropped log lines. */
export function addDroppedLines(registry: Registry, droppedLines: () => number): void {
  const help = 'Log lines that were dropped because nobody read them in time';
  addGauge(registry, 'whinyoke_log_lines_dropped', help, droppedLines);
}

/** Adds gauges for the number and bytes of internal messages, by kind and direction. */
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

/** Periodically logs the bytes of internal messages since the start. */
function logTraffic(traffic: MessageTraffic, logger: EventLogger): void {
  const timer = setInterval(() => {
    const fields = traffic.all.map(({ kind, direction, bytes }): [string, number] => [
      `${kind}_${direction}`,
      bytes,
    ]);
    logger.event(Events.messageTraffic, Object.fromEntries(fields));
  }, TRAFFIC_LOG_INTERVAL_MS);
  timer.unref();
}

/** Starts the metrics endpoint. A failure to listen is logged and does not stop the process. */
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

/** Applies the list of control machines from changed settings. Invalid settings are logged and ignored. */
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
