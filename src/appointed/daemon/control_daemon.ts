/**
 * Daemon of a control machine: runs {@link AppointedControl} with logs, metrics and graceful shutdown. It does not start if
 * the data folder or the internal address is unavailable; it runs without the metrics endpoint if that cannot listen.
 */
import { Gauge, Registry } from 'prom-client';
import { AppointedControl } from '../control/appointed_control.js';
import { type OperatorApi, stopControl } from '../control/control_shutdown.js';
import { evacuatedPrimaries } from '../failover/primary_evacuation.js';
import type { PrimaryAppointer } from '../failover/primary_appointer.js';
import { addGauge } from '../../observability/gauges.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { InstanceChannelConnector } from '../instance/instance_channel.js';
import { MatchingConnector } from '../instance/matching_connector.js';
import type { RoutingDocumentReader } from '../catalog/route_table.js';
import type { PlacementRules } from '../placement/placement_rules.js';
import type { QuotaRules } from '../tenancy/operation_budget.js';
import { addConsensusGauges, addLogBytes } from '../../daemon/consensus_metrics.js';
import {
  type ManagedProcess,
  addDroppedLines,
  addMessageTraffic,
  openMetrics,
  openProcess,
  reloadSeeds,
} from '../../daemon/managed_process.js';
import { awaitStop, stopSignal } from '../../daemon/stop_signal.js';

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
  /** Rules for the operation limits of tenants. */
  readonly quotaRules: QuotaRules;
  /** Rules for the placement of requests. */
  readonly placementRules: PlacementRules;
}

/** Protocol implementations used by the control machine. */
interface AppointedControlProtocols {
  readonly connector: InstanceChannelConnector;
  readonly appointer: PrimaryAppointer;
  readonly documents: RoutingDocumentReader;
}

/** A running control machine. */
interface RunningAppointedControl {
  readonly core: AppointedControl;
  readonly log: DecisionLog;
  /** Metrics served by the metrics endpoint. */
  readonly registry: Registry;
  /** Applies the list of control machines from changed settings; `readSeeds` throws if the settings are invalid. */
  reloadSeeds(readSeeds: () => readonly string[]): void;
  /** Runs until a signal requests a shutdown; resolves after the graceful shutdown. */
  runUntilStopped(api: OperatorApi): Promise<void>;
}

export async function startAppointedControl(
  settings: AppointedControlSettings,
  protocols: AppointedControlProtocols,
): Promise<RunningAppointedControl> {
  const process = await openProcess('whinyoke-control', settings);
  const { logger, decisions } = process;
  const readAt = performance.now();
  const core = await openCore(settings, protocols, process);
  const joinAt = performance.now();
  await core.start();
  const registry = createRegistry(core);
  addDroppedLines(registry, process.droppedLines);
  addMessageTraffic(registry, process.traffic);
  const source = { registry, isReady: () => core.node.hasQuorum };
  const server = await openMetrics(settings.metrics, source, logger);
  logger.event(Events.started, {
    boot_ms: Math.round(performance.now()),
    read_ms: Math.round(joinAt - readAt),
    internal: settings.internal,
    member: core.node.id,
  });
  const signal = stopSignal();
  const runUntilStopped = async (api: OperatorApi): Promise<void> => {
    await awaitStop(logger, () => ({ role: core.node.role }), signal);
    const { clock, messenger } = process.runtime;
    const cutOff = await stopControl({ clock, api, core, messenger });
    server?.close();
    logger.event(Events.stopped, { cut_off: cutOff });
  };
  return {
    core,
    log: decisions.log,
    registry,
    reloadSeeds: (readSeeds) => reloadSeeds(readSeeds, logger, (seeds) => core.updateSeeds(seeds)),
    runUntilStopped,
  };
}

function openCore(
  settings: AppointedControlSettings,
  protocols: AppointedControlProtocols,
  { runtime, decisions }: ManagedProcess,
): Promise<AppointedControl> {
  return AppointedControl.open(runtime, {
    name: settings.id,
    address: settings.internal,
    seeds: settings.seeds,
    isFirstStart: settings.isFirstStart,
    voterCount: settings.voters,
    connector: new MatchingConnector(protocols.connector, runtime.clock, decisions.log),
    appointer: protocols.appointer,
    log: decisions.log,
    documents: protocols.documents,
    quotaRules: settings.quotaRules,
    placementRules: settings.placementRules,
  });
}

function createRegistry(core: AppointedControl): Registry {
  const registry = new Registry();
  const gauge = (name: string, help: string, value: () => number): void =>
    addGauge(registry, name, help, value);
  const { node, catalog } = core;
  addConsensusGauges(registry, node);
  gauge('whinyoke_applied_index', 'Newest applied entry', () => node.appliedIndex);
  gauge('whinyoke_log_lag', 'Entries that are not applied yet', () => {
    return node.log.lastIndex - node.appliedIndex;
  });
  addLogBytes(registry, node);
  gauge('whinyoke_document_version', 'Newest routing document', () => catalog.documentVersion);
  gauge(
    'whinyoke_duty_token',
    'Fencing token of the appointment duty',
    () => catalog.appointmentLeaseEntry.token ?? 0,
  );
  gauge('whinyoke_cold_instances', 'Instances that warm up', () => {
    return catalog.presentInstances.filter(({ isCold }) => isCold).length;
  });
  addGroupEpochs(registry, core);
  addEvacuations(registry, core);
  return registry;
}

function addGroupEpochs(registry: Registry, { catalog }: AppointedControl): void {
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
}

function addEvacuations(registry: Registry, { catalog }: AppointedControl): void {
  const primaries = new Gauge({
    name: 'whinyoke_evacuated_primaries',
    help: 'Primaries that stand in each evacuated zone; `stuck`: no ready instance of their group stands elsewhere',
    labelNames: ['zone', 'state'],
    registers: [registry],
    collect: () => {
      primaries.reset();
      for (const zone of catalog.evacuatedZones) {
        for (const state of ['moving', 'stuck']) primaries.set({ zone, state }, 0);
      }
      for (const { zone, isStuck } of evacuatedPrimaries(catalog)) {
        primaries.inc({ zone, state: isStuck ? 'stuck' : 'moving' });
      }
    },
  });
}
