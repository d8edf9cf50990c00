/** The daemon around {@link AppointedProxy}: logs, metrics, listener, planned stop. */
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import { Events } from '../../observability/events.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import { stopAsPlanned } from '../proxy/planned_stop.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { AppointedProxy } from '../proxy/appointed_proxy.js';
import { type CallerCodec, SessionListener } from '../sessions/session_listener.js';
import { addDroppedLines, openMetrics, openProcess } from '../../daemon/managed_process.js';
import { SocketAcceptor } from '../../runtime/socket_acceptor.js';
import { ProxyMetrics } from './proxy_metrics.js';
import { stopSignal } from '../../daemon/stop_signal.js';

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
  readonly metrics: string | undefined;
}

/** The protocols that the proxy speaks. */
export interface AppointedProxyProtocols {
  readonly callers: CallerCodec;
  readonly connector: InstanceConnector;
  readonly documents: RoutingDocumentReader;
}

/** A proxy that runs. */
export interface RunningAppointedProxy {
  readonly core: AppointedProxy;
  /** Takes over changed settings. */
  updateSeeds(seeds: readonly string[]): void;
  /** Resolves after a planned stop. */
  readonly stopped: Promise<void>;
}

const EVACUATION_MS = 250;
/**
 * Longest time for which callers are left unread while a process that starts has no configuration, in milliseconds:
 * with the patience of the listener after it, less than the 2 s after which callers leave.
 */
const CALLERS_HELD_MS = 600;

/** Starts a proxy. Callers may wait at a listener that is open already. */
export async function startAppointedProxy(
  settings: AppointedProxySettings,
  protocols: AppointedProxyProtocols,
  openAcceptor?: SocketAcceptor,
): Promise<RunningAppointedProxy> {
  const acceptor = openAcceptor ?? (await SocketAcceptor.open(settings.listen));
  const { runtime, logger, decisions, droppedLines } = await openProcess(
    'whinyoke-proxy',
    settings,
  );
  const metrics = new ProxyMetrics();
  const core = new AppointedProxy(runtime, {
    id: settings.id,
    zone: settings.zone,
    address: settings.internal,
    seeds: settings.seeds,
    connector: protocols.connector,
    reader: protocols.documents,
    log: decisions.log,
    counters: metrics,
    credentialFreshnessMs: settings.credentialFreshnessMs,
    quotaRules: settings.quotaRules,
  });
  metrics.watch(core);
  addDroppedLines(metrics.registry, droppedLines);
  const listener = new SessionListener(protocols.callers, core, acceptor);
  core.start();
  const evacuation = setInterval(() => {
    if (core.isIsolated) listener.closeIdle();
  }, EVACUATION_MS);
  evacuation.unref();
  // Reading callers would only delay the first answer of control, on which all of them wait.
  void core.awaitTable(CALLERS_HELD_MS).then(() => listener.start());
  const server = await openMetrics(
    settings.metrics,
    {
      registry: metrics.registry,
      isReady: () => core.isReady,
    },
    logger,
  );
  logger.event(Events.started, {
    boot_ms: Math.round(performance.now()),
    listen: settings.listen,
    internal: settings.internal,
  });
  const stop = async (): Promise<void> => {
    const signal = await stopSignal();
    logger.event(Events.stopping, { signal, callers: listener.connectionCount });
    core.beginLeave();
    const cutOff = await stopAsPlanned(
      runtime.clock,
      listener,
      settings.graceMs,
      () => core.relayedCount,
    );
    core.stop();
    server?.close();
    logger.event(Events.stopped, { cut_off: cutOff });
  };
  return {
    core,
    updateSeeds: (seeds) => {
      logger.event(Events.settingsReloaded, { controls: seeds.join(' ') });
      core.updateSeeds(seeds);
    },
    stopped: stop(),
  };
}
