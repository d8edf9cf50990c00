/** The control daemon: logs and metrics around {@link ControlCore}. */
import { Registry } from 'prom-client';
import { ControlCore } from '../control/control_core.js';
import type { PlatformMachine, PlatformSource } from '../control/platform_watcher.js';
import { addGauge } from '../../observability/gauges.js';
import { Events } from '../../observability/events.js';
import { EventLogger } from '../../observability/logger.js';
import { controlSettingsSchema, readSettings } from '../configuration/settings.js';
import { addConsensusGauges, addLogBytes } from '../../daemon/consensus_metrics.js';
import { startMetricsServer } from '../../daemon/metrics_server.js';
import { openRuntime } from '../../daemon/process_runtime.js';
import { awaitStop } from '../../daemon/stop_signal.js';

const PLATFORM_TIMEOUT_MS = 2000;

/** The platform's list over HTTP and JSON. */
class HttpPlatform implements PlatformSource {
  constructor(private readonly url: string) {}

  async list(): Promise<readonly PlatformMachine[]> {
    const response = await fetch(this.url, { signal: AbortSignal.timeout(PLATFORM_TIMEOUT_MS) });
    return (await response.json()) as PlatformMachine[];
  }
}

function createRegistry(core: ControlCore): Registry {
  const registry = new Registry();
  const help = 'Newest accepted revision';
  addGauge(registry, 'whinyoke_accepted_revision', help, () => core.store.revision);
  addConsensusGauges(registry, core.node);
  addLogBytes(registry, core.node);
  return registry;
}

/** Runs a control machine until it is told to stop. */
export async function runControl(settingsFile: string, recoverAlone: boolean): Promise<void> {
  const settings = readSettings(settingsFile, controlSettingsSchema);
  const log = new EventLogger(
    'whinyoke-control',
    { control: settings.internal },
    settings.log_level,
  );
  const runtime = await openRuntime(settingsFile, settings, log);
  let loggedRevision = 0;
  const core = await ControlCore.open(
    runtime,
    {
      address: settings.internal,
      controls: settings.controls,
      recoverAlone,
      platform:
        settings.platform_url === undefined ? undefined : new HttpPlatform(settings.platform_url),
    },
    {
      onRole: (role, term) => log.event(Events.roleChanged, { role, term }),
      onApplied: () => {
        const { revision } = core.store;
        if (revision === loggedRevision) return;
        loggedRevision = revision;
        log.event(Events.revisionApplied, { revision });
      },
    },
  );
  await core.start();
  const metrics =
    settings.metrics === undefined
      ? undefined
      : await startMetricsServer(settings.metrics, {
          registry: createRegistry(core),
          isReady: () => core.node.hasQuorum,
        });
  log.event(Events.started, { internal: settings.internal, member: core.node.id });
  await awaitStop(log);
  core.stop();
  await runtime.messenger.close();
  metrics?.close();
  log.event(Events.stopped);
}
