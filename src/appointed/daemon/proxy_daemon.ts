/**
 * The daemon around {@link AppointedProxy}: logs, metrics, listener, planned stop. Owns the process; relies on its internal
 * address and the address for callers, without which it does not start. It serves on where the metrics endpoint can't
 * listen.
 */
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import { Events } from '../../observability/events.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import { stopGracefully } from '../proxy/graceful_stop.js';
import type { PlacementRules } from '../placement/placement_rules.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { AppointedProxy } from '../proxy/appointed_proxy.js';
import { type CallerCodec, SessionListener } from '../sessions/session_listener.js';
import {
  type ManagedProcess,
  addDroppedLines,
  addMessageTraffic,
  openMetrics,
  openProcess,
  reloadSeeds,
} from '../../daemon/managed_process.js';
import { SocketAcceptor } from '../../runtime/socket_acceptor.js';
import { ProxyMetrics } from './proxy_metrics.js';
import { awaitStop } from '../../daemon/stop_signal.js';

/** Settings of a proxy for groups with appointed primaries. */
export interface AppointedProxySettings {
  readonly id: string;
  readonly zone: string;
  /** Address for callers. */
  readonly listen: string;
  /** Address for messages of other processes. */
  readonly internal: string;
  readonly seeds: readonly string[];
  /** Time between the order to stop and the end, in milliseconds. */
  readonly graceMs: number;
  /** How long a document counts that control confirmed, in milliseconds, where callers need credentials. */
  readonly credentialFreshnessMs: number;
  readonly quotaRules: QuotaRules;
  /** Bounds on where requests go. */
  readonly placementRules: PlacementRules;
  readonly metrics: string | undefined;
}

/** The protocols that the proxy speaks. */
interface AppointedProxyProtocols {
  readonly callers: CallerCodec;
  readonly connector: InstanceConnector;
  readonly documents: RoutingDocumentReader;
}

/** A proxy that runs. */
interface RunningAppointedProxy {
  readonly core: AppointedProxy;
  /** Takes over the control machines that changed settings name; `readSeeds` throws where they are wrong. */
  reloadSeeds(readSeeds: () => readonly string[]): void;
  /** Resolves after a planned stop. */
  readonly stopped: Promise<void>;
}

/** Time between two looks whether the proxy is isolated from control, in milliseconds. Guess, not measured. */
const EVACUATION_MS = 250;
/**
 * Longest time for which callers are left unread while a process that starts has no configuration, in milliseconds: with
 * the time for which the listener waits after it, less than the 2 s after which callers leave.
 * docs/measurements/pieraksts.md, with unused libraries left out: scores of two days of high load 0.637 to 0.677, 0.803 to 0.788.
 */
const CALLERS_HELD_MS = 600;

/** Starts a proxy. Callers may wait at a listener that is open already. */
export async function startAppointedProxy(
  settings: AppointedProxySettings,
  protocols: AppointedProxyProtocols,
  openAcceptor?: SocketAcceptor,
): Promise<RunningAppointedProxy> {
  const acceptor = openAcceptor ?? (await SocketAcceptor.open(settings.listen));
  const process = await openProcess('whinyoke-proxy', settings);
  const { logger } = process;
  const metrics = new ProxyMetrics();
  const core = createCore(settings, protocols, process, metrics);
  metrics.watch(core);
  addDroppedLines(metrics.registry, process.droppedLines);
  addMessageTraffic(metrics.registry, process.traffic);
  const listener = new SessionListener(protocols.callers, core, acceptor);
  core.start();
  evacuateWhenIsolated(core, listener);
  // Reading callers would only delay the first answer of control, on which all of them wait.
  void core.awaitTable(CALLERS_HELD_MS).then(() => listener.start());
  const source = { registry: metrics.registry, isReady: () => core.isReady };
  const server = await openMetrics(settings.metrics, source, logger);
  logger.event(Events.started, {
    boot_ms: Math.round(performance.now()),
    listen: settings.listen,
    internal: settings.internal,
  });
  const stop = async (): Promise<void> => {
    await awaitStop(logger, () => ({ callers: listener.connectionCount }));
    const cutOff = await leave(core, listener, settings.graceMs);
    server?.close();
    logger.event(Events.stopped, { cut_off: cutOff });
  };
  return {
    core,
    reloadSeeds: (readSeeds) => reloadSeeds(readSeeds, logger, (seeds) => core.updateSeeds(seeds)),
    stopped: stop(),
  };
}

function createCore(
  settings: AppointedProxySettings,
  protocols: AppointedProxyProtocols,
  { runtime, decisions }: ManagedProcess,
  counters: ProxyMetrics,
): AppointedProxy {
  return new AppointedProxy(runtime, {
    id: settings.id,
    zone: settings.zone,
    address: settings.internal,
    seeds: settings.seeds,
    connector: protocols.connector,
    reader: protocols.documents,
    log: decisions.log,
    counters,
    credentialFreshnessMs: settings.credentialFreshnessMs,
    quotaRules: settings.quotaRules,
    placementRules: settings.placementRules,
  });
}

/** Closes idle callers' connections for as long as the proxy is isolated, so that they go to another one. */
function evacuateWhenIsolated(core: AppointedProxy, listener: SessionListener): void {
  const timer = setInterval(() => {
    if (core.isIsolated) listener.closeIdle();
  }, EVACUATION_MS);
  timer.unref();
}

/** Stops a proxy as planned; resolves with the number of callers that were cut off. */
async function leave(
  core: AppointedProxy,
  listener: SessionListener,
  graceMs: number,
): Promise<number> {
  core.startLeaving();
  const cutOff = await stopGracefully(core.clock, listener, graceMs, () => core.relayedCount);
  core.stop();
  return cutOff;
}
