/** Logs and runtime of the daemons for groups with appointed primaries. */
import type { Server } from 'node:http';
import type { Registry } from 'prom-client';
import { messageOf } from '../errors/errors.js';
import { Events } from '../observability/events.js';
import { BoundedOutput } from '../observability/bounded_output.js';
import { DecisionLogger } from '../observability/decision_logger.js';
import { addGauge } from '../observability/gauges.js';
import { EventLogger } from '../observability/logger.js';
import { splitAddress } from '../runtime/address.js';
import { RealClock } from '../runtime/real_clock.js';
import { RealFolder } from '../runtime/real_folder.js';
import type { DataFolder, Runtime } from '../runtime/runtime.js';
import { SeededRandom } from '../runtime/seeded_random.js';
import { TcpMessenger } from '../runtime/tcp_messenger.js';
import { type MetricsSource, startMetricsServer } from './metrics_server.js';

/** What every process is told. */
export interface ProcessSettings {
  readonly id: string;
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
}

/** More than a round trip between regions, in milliseconds. */
export const PEER_CONNECT_TIMEOUT_MS = 120;
const NO_FOLDER_TEXT = 'this process has no data folder';

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

/** Opens logs, data folder and the internal listener. */
export async function openProcess(
  program: string,
  settings: ProcessSettings,
): Promise<ManagedProcess> {
  const output = new BoundedOutput();
  const logger = new EventLogger(program, { node: settings.id }, 'info', output);
  const clock = new RealClock();
  const decisions = new DecisionLogger(logger, clock);
  const messenger = new TcpMessenger({
    ...splitAddress(settings.internal),
    sharedKey: undefined,
    connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
  });
  const folder =
    settings.dataFolder === undefined ? noFolder() : await RealFolder.open(settings.dataFolder);
  await messenger.listen();
  return {
    runtime: { clock, random: SeededRandom.fromSystem(), folder, messenger },
    logger,
    decisions,
    droppedLines: () => output.droppedLines,
  };
}

/** Adds the number of log lines that were dropped to the metrics of a process. */
export function addDroppedLines(registry: Registry, droppedLines: () => number): void {
  const help = 'Log lines that were dropped because nobody read them in time';
  addGauge(registry, 'whinyoke_log_lines_dropped', help, droppedLines);
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
