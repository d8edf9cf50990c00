/**
 * Daemon of a proxy: runs {@link AppointedProxy} with logs, metrics, the listener for callers and graceful shutdown. It does
 * not start if the internal address or the address for callers is unavailable; it runs without the metrics endpoint if that
 * cannot listen.
 */
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import { Events } from '../../observability/events.js';
import type { InstanceChannelConnector } from '../instance/instance_channel.js';
import { MatchingConnector } from '../instance/matching_connector.js';
import { stopGracefully } from '../proxy/graceful_stop.js';
import type { PlacementRules } from '../placement/placement_rules.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { AppointedProxy } from '../proxy/appointed_proxy.js';
import { SessionListener } from '../sessions/session_listener.js';
import type { CallerCodec } from '../sessions/socket_channel.js';
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
import { awaitStop, stopSignal } from '../../daemon/stop_signal.js';

/** Settings of a proxy for groups with appointed primaries. */
export interface AppointedProxySettings {
  readonly id: string;
  readonly zone: string;
  /** Address for callers. */
  readonly listen: string;
  /** Address for messages of other processes. */
  readonly internal: string;
  readonly seeds: readonly string[];
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  readonly graceMs: number;
  /** How long a document confirmed by control may be used to check the credentials of callers, in milliseconds. */
  readonly credentialFreshnessMs: number;
  readonly quotaRules: QuotaRules;
  /** Rules for the placement of requests. */
  readonly placementRules: PlacementRules;
  readonly metrics: string | undefined;
}

/** Protocol implementations used by the proxy. */
interface AppointedProxyProtocols {
  readonly callers: CallerCodec;
  readonly connector: InstanceChannelConnector;
  readonly documents: RoutingDocumentReader;
}

/** A running proxy. */
interface RunningAppointedProxy {
  readonly core: AppointedProxy;
  /** Applies the list of control machines from changed settings; `readSeeds` throws if the settings are invalid. */
  reloadSeeds(readSeeds: () => readonly string[]): void;
  /** Resolves after a graceful shutdown. */
  readonly stopped: Promise<void>;
}

/** Interval between checks whether the proxy is isolated from control, in milliseconds. */
const ISOLATION_CHECK_INTERVAL_MS = 250;
/**
 * Maximum time at startup for which caller connections are not read while no configuration is in force, in milliseconds.
 * Together with the delay of the listener that follows, it must stay below the 2 s after which callers disconnect.
 */
const INITIAL_CONFIGURATION_TIMEOUT_MS = 600;
/** Fraction of the grace period, at its end, for the delivery of replies to other processes. */
const MESSAGE_DELIVERY_FRACTION = 0.015;

/** Starts a proxy. An `openAcceptor` passed by the caller may already have queued connections. */
export async function startAppointedProxy(
  settings: AppointedProxySettings,
  protocols: AppointedProxyProtocols,
  openAcceptor?: SocketAcceptor,
): Promise<RunningAppointedProxy> {
  // Awaited before callers are read: until then a signal ends the process.
  const signal = stopSignal();
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
  closeIdleCallersWhileIsolated(core, listener);
  // All callers wait for the first reply of control; reading their connections earlier would only delay it.
  void core.awaitTable(INITIAL_CONFIGURATION_TIMEOUT_MS).then(() => listener.start());
  const source = { registry: metrics.registry, isReady: () => core.isReady };
  const server = await openMetrics(settings.metrics, source, logger);
  logger.event(Events.started, {
    boot_ms: Math.round(performance.now()),
    listen: settings.listen,
    internal: settings.internal,
  });
  const stop = async (): Promise<void> => {
    await awaitStop(logger, () => ({ callers: listener.connections.size }), signal);
    const cutOff = await stopProxy(core, listener, settings.graceMs);
    await process.runtime.messenger.finish(settings.graceMs * MESSAGE_DELIVERY_FRACTION);
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
    connector: new MatchingConnector(protocols.connector, runtime.clock, decisions.log),
    reader: protocols.documents,
    log: decisions.log,
    counters,
    credentialFreshnessMs: settings.credentialFreshnessMs,
    quotaRules: settings.quotaRules,
    placementRules: settings.placementRules,
  });
}

/** Closes idle caller connections while the proxy is isolated from control, so that callers reconnect to another proxy. */
function closeIdleCallersWhileIsolated(core: AppointedProxy, listener: SessionListener): void {
  const timer = setInterval(() => {
    if (core.isIsolated) listener.connections.closeIdle({ kind: 'isolated' }, 0);
  }, ISOLATION_CHECK_INTERVAL_MS);
  timer.unref();
}

/** Shuts a proxy down gracefully; resolves with the number of callers whose connections were closed without a reply. */
async function stopProxy(
  core: AppointedProxy,
  listener: SessionListener,
  graceMs: number,
): Promise<number> {
  core.startLeaving();
  const parts = {
    clock: core.clock,
    shutdown: core.shutdown,
    connections: listener.connections,
    relayedCount: () => core.relayedCount,
    closeInstances: () => core.closeInstances(),
    stopAccepting: () => listener.stopAccepting(),
  };
  const cutOff = await stopGracefully(parts, graceMs);
  core.stop();
  return cutOff;
}
