/** The daemon around {@link AppointedControl}: logs, metrics, planned stop. */
import { Gauge, Registry } from 'prom-client';
import { AppointedControl } from '../control/appointed_control.js';
import type { PrimaryAppointer } from '../failover/primary_appointer.js';
import { addGauge } from '../../observability/gauges.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { addDroppedLines, openMetrics, openProcess } from '../../daemon/managed_process.js';
import { stopSignal } from '../../daemon/stop_signal.js';

/** Settings of a control machine for groups with appointed primaries. */
export interface AppointedControlSettings {
  readonly id: string;
  /** Address for messages of other processes. */
  readonly internal: string;
  readonly dataFolder: string;
  readonly seeds: readonly string[];
  readonly isFirstStart: boolean;
  readonly voters: number;
  readonly metrics: string | undefined;
  /** How limits on operations of tenants are judged. */
  readonly quotaRules: QuotaRules;
}

/** A control machine that runs. */
export interface RunningAppointedControl {
  readonly core: AppointedControl;
  readonly log: DecisionLog;
  /** Takes over changed settings. */
  updateSeeds(seeds: readonly string[]): void;
  /** Resolves after a planned stop. */
  readonly stopped: Promise<void>;
}

function createRegistry(core: AppointedControl): Registry {
  const registry = new Registry();
  const gauge = (name: string, help: string, value: () => number): void =>
    addGauge(registry, name, help, value);
  const { node, catalog } = core;
  gauge('whinyoke_consensus_term', 'Current consensus term', () => node.currentTerm);
  gauge('whinyoke_consensus_leader', '1 on the leader', () => (node.role === 'leader' ? 1 : 0));
  gauge('whinyoke_applied_index', 'Newest applied entry', () => node.appliedIndex);
  gauge('whinyoke_log_lag', 'Entries that are not applied yet', () => {
    return node.log.lastIndex - node.appliedIndex;
  });
  gauge('whinyoke_log_bytes', 'Bytes of log and snapshot', () => node.log.byteLength);
  gauge('whinyoke_document_version', 'Newest routing document', () => catalog.documentVersion);
  gauge(
    'whinyoke_duty_token',
    'Fencing token of the appointment duty',
    () => catalog.duty.token ?? 0,
  );
  const epochs = new Gauge({
    name: 'whinyoke_group_epoch',
    help: 'Epoch of each group, by phase',
    labelNames: ['group', 'primary', 'phase'],
    registers: [registry],
    collect: () => {
      epochs.reset();
      for (const group of catalog.groups) {
        const phase = group.phase === whinyoke.GroupPhase.CHANGING ? 'changing' : 'steady';
        const labels = { group: group.group ?? '', primary: group.primary ?? '', phase };
        epochs.set(labels, group.epoch ?? 0);
      }
    },
  });
  return registry;
}

/** Starts a control machine. */
export async function startAppointedControl(
  settings: AppointedControlSettings,
  connector: InstanceConnector,
  appointer: PrimaryAppointer,
  documents: RoutingDocumentReader,
): Promise<RunningAppointedControl> {
  const { runtime, logger, decisions, droppedLines } = await openProcess(
    'whinyoke-control',
    settings,
  );
  const readAt = performance.now();
  const core = await AppointedControl.open(runtime, {
    name: settings.id,
    address: settings.internal,
    seeds: settings.seeds,
    isFirstStart: settings.isFirstStart,
    voters: settings.voters,
    connector,
    appointer,
    log: decisions.log,
    documents,
    quotaRules: settings.quotaRules,
  });
  const joinAt = performance.now();
  await core.start();
  const registry = createRegistry(core);
  addDroppedLines(registry, droppedLines);
  const server = await openMetrics(
    settings.metrics,
    {
      registry,
      isReady: () => core.node.hasQuorum,
    },
    logger,
  );
  logger.event(Events.started, {
    boot_ms: Math.round(performance.now()),
    read_ms: Math.round(joinAt - readAt),
    internal: settings.internal,
    member: core.node.id,
  });
  const stop = async (): Promise<void> => {
    const signal = await stopSignal();
    logger.event(Events.stopping, { signal });
    core.stop();
    server?.close();
    logger.event(Events.stopped);
  };
  return {
    core,
    log: decisions.log,
    updateSeeds: (seeds) => {
      logger.event(Events.settingsReloaded, { controls: seeds.join(' ') });
      core.updateSeeds(seeds);
    },
    stopped: stop(),
  };
}
