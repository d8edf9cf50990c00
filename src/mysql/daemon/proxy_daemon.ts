/** The proxy daemon: listeners, logs and metrics around {@link ProxyCore}. */
import { splitAddress } from '../../runtime/address.js';
import { Counter, Gauge, Registry } from 'prom-client';
import { MysqlConnector } from '../backend/mysql_connector.js';
import { MysqlListener } from '../frontend/mysql_listener.js';
import { Events } from '../../observability/events.js';
import { EventLogger } from '../../observability/logger.js';
import { stopGracefully } from '../proxy/graceful_stop.js';
import { ProxyCore } from '../proxy/proxy_core.js';
import {
  type ProxySettings,
  proxySettingsSchema,
  readSecret,
  readSettings,
} from '../configuration/settings.js';
import { startMetricsServer } from '../../daemon/metrics_server.js';
import { openRuntime } from '../../daemon/process_runtime.js';
import type { ProcessRuntime } from '../../daemon/real_runtime.js';
import { awaitStop } from '../../daemon/stop_signal.js';

/** Time at the end of a shutdown for the delivery of replies to other processes, in milliseconds. */
const MESSAGE_DELIVERY_LIMIT_MS = 100;
const SERVER_VERSION = '8.4.0-whinyoke';

function createCore(
  settings: ProxySettings,
  settingsFile: string,
  runtime: ProcessRuntime,
  log: EventLogger,
): ProxyCore {
  const connector = new MysqlConnector({
    user: settings.backend.user,
    password: readSecret(settingsFile, settings.backend.password_file),
  });
  const options = {
    id: settings.id,
    address: settings.internal,
    zone: settings.zone,
    controls: settings.controls,
  };
  const seatsByGroup = new Map<string, string>();
  return new ProxyCore(runtime, connector, options, {
    onConfiguration: (revision) => log.event(Events.configurationInForce, { revision }),
    onPrimaryChange: (group, primary, term) =>
      log.event(Events.primaryChanged, { group, primary: primary ?? '', term }),
    onSeats: (group, seats) => {
      const text = seats.join(',');
      if (seatsByGroup.get(group) === text) return;
      seatsByGroup.set(group, text);
      log.event(Events.seatsChanged, { group, seats: text });
    },
  });
}

function createListener(
  settings: ProxySettings,
  settingsFile: string,
  core: ProxyCore,
  log: EventLogger,
): MysqlListener {
  const passwords = new Map(
    settings.callers.map(({ user, password_file }) => [
      user,
      readSecret(settingsFile, password_file),
    ]),
  );
  return new MysqlListener({
    ...splitAddress(settings.listen),
    passwordOf: (user) => passwords.get(user),
    serverVersion: SERVER_VERSION,
    maximumConnections: settings.maximum_callers,
    openSession: (identity) => Promise.resolve(core.openSession(identity)),
    onConnectionError: (reason) => log.event(Events.connectionError, { reason }),
    onEndedByStop: ({ stage, connectionId: connection, name: command, ageMs: age_ms }) => {
      if (stage === 'running') {
        log.event(Events.requestAnsweredByStop, { connection, command, age_ms });
        return;
      }
      const reason = 'its answer could not be delivered before the end of the process';
      log.event(Events.requestEndedByStop, { connection, command, stage, age_ms, reason });
    },
  });
}

function createRegistry(core: ProxyCore, listener: MysqlListener): Registry {
  const registry = new Registry();
  new Gauge({
    name: 'whinyoke_configuration_revision',
    help: 'Revision of the configuration in force',
    registers: [registry],
    collect() {
      this.set(core.revision);
    },
  });
  new Gauge({
    name: 'whinyoke_client_connections',
    help: 'Open connections of callers',
    registers: [registry],
    collect() {
      this.set(listener.connectionCount);
    },
  });
  new Gauge({
    name: 'whinyoke_running_statements',
    help: 'Statements running on an instance through this proxy',
    labelNames: ['group', 'instance'],
    registers: [registry],
    collect() {
      for (const gateway of core.activeGateways) {
        for (const { address, slots } of gateway.allResources) {
          this.set({ group: gateway.name, instance: address }, slots.used);
        }
      }
    },
  });
  new Counter({
    name: 'whinyoke_gateway_total',
    help: 'Reads, barriers, confirmations and retries of this proxy as a gateway',
    labelNames: ['group', 'kind'],
    registers: [registry],
    collect() {
      this.reset();
      for (const gateway of core.activeGateways) {
        for (const [kind, count] of Object.entries(gateway.counters)) {
          this.inc({ group: gateway.name, kind }, count as number);
        }
      }
    },
  });
  return registry;
}

/** Runs a proxy until it is told to stop. */
export async function runProxy(settingsFile: string): Promise<void> {
  const settings = readSettings(settingsFile, proxySettingsSchema);
  const log = new EventLogger('whinyoke-proxy', { proxy: settings.id }, settings.log_level);
  const runtime = await openRuntime(settingsFile, settings, log);
  const core = createCore(settings, settingsFile, runtime, log);
  const listener = createListener(settings, settingsFile, core, log);
  core.countClients = () => listener.connectionCount;
  await core.start();
  await listener.listen();
  const metrics =
    settings.metrics === undefined
      ? undefined
      : await startMetricsServer(settings.metrics, {
          registry: createRegistry(core, listener),
          isReady: () => core.revision > 0 && !core.isStopping,
        });
  log.event(Events.started, { listen: settings.listen, internal: settings.internal });
  await awaitStop(log);
  const cutOff = await stopGracefully(core, listener, runtime.clock, settings.stop_deadline_ms);
  await runtime.messenger.finish(MESSAGE_DELIVERY_LIMIT_MS);
  metrics?.close();
  log.event(Events.stopped, { cut_off: cutOff });
}
