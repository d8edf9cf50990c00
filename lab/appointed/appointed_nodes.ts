/** Simulated machines of a deployment whose primaries are appointed; they run the daemons' own cores. */
import { AppointedControl } from '../../src/appointed/control/appointed_control.js';
import type { PrimaryAppointer } from '../../src/appointed/failover/primary_appointer.js';
import type { EventKind } from '../../src/observability/events.js';
import type { EventFields } from '../../src/observability/logger.js';
import type { InstanceChannelConnector } from '../../src/appointed/instance/instance_channel.js';
import type { InstanceConnector } from '../../src/appointed/instance/instance_connection.js';
import { MatchingConnector } from '../../src/appointed/instance/matching_connector.js';
import type { RequestCounters } from '../../src/appointed/proxy/proxy_context.js';
import type {
  Route,
  RouteTable,
  RoutingDocumentReader,
} from '../../src/appointed/catalog/route_table.js';
import { AppointedProxy } from '../../src/appointed/proxy/appointed_proxy.js';
import { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { documentFreshnessMs } from '../../src/appointed/tenancy/admission.js';
import type { PlacementRules } from '../../src/appointed/placement/placement_rules.js';
import type { QuotaRules } from '../../src/appointed/tenancy/operation_budget.js';
import { TenantDirectory, type TenantWithCredentials } from '../../src/appointed/tenancy/tenant.js';
import type { TenancyOfDeployment } from './appointed_deployment.js';
import { type MachineSurroundings, SimulatedMachine } from '../simulation/simulated_machine.js';
import {
  type AppointedProtection,
  WeakenedConnector,
  disableEmptyPrimaryCheck,
  disableCommitWatermarks,
  disableDepartures,
  disableIncarnations,
  disableLease,
  disableEvacuatedZones,
  disableIssuerLease,
  disablePendingAppointments,
  disablePermits,
  disableQuota,
  disableReplicaLeases,
  disableSlowStart,
} from './disabled_protections.js';
import { OrderedConnector, UnconfirmingConnector } from './weakened_connections.js';
import type { VirtualProcess } from '../simulation/virtual_process.js';
import { SimulatedListener } from './simulated_listener.js';

/** One line of a simulated process's log. */
export interface SimulatedLogLine {
  readonly at: number;
  readonly node: string;
  readonly event: string;
  readonly fields: EventFields;
}

/** What the machines share. */
export interface AppointedSurroundings extends MachineSurroundings {
  readonly seeds: readonly string[];
  readonly reader: RoutingDocumentReader;
  readonly lines: SimulatedLogLine[];
  readonly disabled: ReadonlySet<AppointedProtection>;
  readonly tenancy: TenancyOfDeployment | undefined;
  readonly placementRules: PlacementRules;
  readonly channelsFor: (process: VirtualProcess) => InstanceChannelConnector;
  readonly appointerFor: (process: VirtualProcess) => PrimaryAppointer;
}

const NO_QUOTA_RULES: QuotaRules = { windowMs: 5000, overage: 0, tolerance: 0 };

function freshnessOf({ tenancy, disabled }: AppointedSurroundings): number {
  const isBounded = tenancy !== undefined && !disabled.has('credential-freshness');
  return isBounded ? documentFreshnessMs(tenancy.revocationMs) : Infinity;
}

const NO_COUNTERS: RequestCounters = {
  answered: () => undefined,
  served: () => undefined,
  retried: () => undefined,
  refusedByAllowedRegions: () => undefined,
};

function connectorOf(
  surroundings: AppointedSurroundings,
  process: VirtualProcess,
  name: string,
): InstanceConnector {
  const { disabled } = surroundings;
  const channels = surroundings.channelsFor(process);
  if (disabled.has('answer-matching')) return new OrderedConnector(channels, process.clock);
  const log = logInto(surroundings, name);
  const connector = new MatchingConnector(channels, process.clock, log);
  return disabled.has('answer-confirmation') ? new UnconfirmingConnector(connector) : connector;
}

function logInto(
  surroundings: AppointedSurroundings,
  node: string,
): (kind: EventKind, fields: EventFields) => void {
  return (kind, fields) =>
    surroundings.lines.push({ at: surroundings.scheduler.now, node, event: kind.name, fields });
}

/** A proxy. */
export class SimulatedRouter extends SimulatedMachine<AppointedSurroundings> {
  private core: AppointedProxy | undefined;
  private listener: SimulatedListener | undefined;

  constructor(
    name: string,
    private readonly address: string,
    /** Zone of the proxy. */
    readonly zone: string,
    surroundings: AppointedSurroundings,
  ) {
    super(name, address, surroundings);
  }

  /** The running core, its listener and its process. */
  get running():
    { core: AppointedProxy; listener: SimulatedListener; process: VirtualProcess } | undefined {
    const { core, listener, process } = this;
    return this.isUp && core && listener && process ? { core, listener, process } : undefined;
  }

  /** Whether its process runs and was told to stop. */
  get isStopping(): boolean {
    return this.running?.listener.isStopping ?? false;
  }

  /** Lets the process shut down as on SIGTERM, and starts it again after it has ended. */
  stopAndRestart(graceMs: number, restartMs: number): void {
    const { listener, process } = this.running ?? {};
    if (!listener || !process) return;
    void listener.stop(graceMs).then(() => {
      this.kill();
      this.surroundings.scheduler.schedule(restartMs, () => this.start());
    });
  }

  /** Opens a caller's session; undefined while the proxy can't serve. */
  openSession(database: string, credential?: string): RoutedSession | undefined {
    return this.running?.core.openSession(database, credential);
  }

  protected launch(process: VirtualProcess, runtime: Runtime): void {
    const { surroundings } = this;
    const core = new AppointedProxy(runtime, {
      id: this.name,
      zone: this.zone,
      address: this.address,
      seeds: surroundings.seeds,
      connector: new WeakenedConnector(
        connectorOf(surroundings, process, this.name),
        surroundings.disabled,
      ),
      reader: surroundings.reader,
      log: logInto(surroundings, this.name),
      counters: NO_COUNTERS,
      credentialFreshnessMs: freshnessOf(surroundings),
      quotaRules: surroundings.tenancy?.quotaRules ?? NO_QUOTA_RULES,
      placementRules: surroundings.placementRules,
    });
    if (surroundings.disabled.has('lease')) disableLease(core);
    if (surroundings.disabled.has('replica-witness')) disableReplicaLeases(core);
    if (surroundings.disabled.has('fleet-quota')) disableQuota(core);
    if (surroundings.disabled.has('instance-lives')) disableEmptyPrimaryCheck(core);
    if (surroundings.disabled.has('evacuated-zones')) disableEvacuatedZones(core);
    if (surroundings.disabled.has('slow-start')) disableSlowStart(core);
    if (surroundings.disabled.has('issuer-lease')) disableIssuerLease(core);
    this.core = core;
    this.listener = new SimulatedListener(core, process, surroundings.disabled);
    core.start();
    process.onEnd(() => core.stop());
  }
}

/** A control machine. */
export class SimulatedCoordinator extends SimulatedMachine<AppointedSurroundings> {
  private core: AppointedControl | undefined;
  private isFirstStart = true;

  constructor(
    name: string,
    private readonly address: string,
    private readonly voterCount: number,
    surroundings: AppointedSurroundings,
  ) {
    super(name, address, surroundings);
  }

  /** The running core. */
  get running(): AppointedControl | undefined {
    return this.isUp ? this.core : undefined;
  }

  protected launch(process: VirtualProcess, runtime: Runtime): void {
    const { surroundings } = this;
    const options = {
      name: this.name,
      address: this.address,
      seeds: surroundings.seeds,
      isFirstStart: this.isFirstStart,
      voterCount: this.voterCount,
      connector: connectorOf(surroundings, process, this.name),
      appointer: surroundings.appointerFor(process),
      log: logInto(surroundings, this.name),
      documents: surroundings.reader,
      quotaRules: surroundings.tenancy?.quotaRules ?? NO_QUOTA_RULES,
      placementRules: surroundings.placementRules,
    };
    this.isFirstStart = false;
    this.core = undefined;
    void AppointedControl.open(runtime, options)
      .then(async (core) => {
        if (!process.alive) return;
        if (surroundings.disabled.has('instance-lives')) disableIncarnations(core);
        if (surroundings.disabled.has('departures')) disableDepartures(core);
        if (surroundings.disabled.has('commit-watermarks')) disableCommitWatermarks(core);
        if (surroundings.disabled.has('appointment-permits')) disablePermits(core);
        if (surroundings.disabled.has('pending-appointments')) disablePendingAppointments(core);
        this.core = core;
        process.onEnd(() => core.stop());
        await core.start();
      })
      .catch((failure: unknown) => this.endStart(process, failure));
  }
}

/** A route as documents of the simulation write it. */
export type WrittenRoute = Omit<Route, 'allowedRegions'> & {
  readonly allowedRegions?: readonly string[];
};

/** Routing documents of the simulation: JSON of the product's own route table. */
export class SimulatedDocumentReader implements RoutingDocumentReader {
  /** @param readsHomes - whether homes of routes count */
  constructor(private readonly readsHomes: boolean) {}

  read(source: string): RouteTable {
    const fields = JSON.parse(source) as Omit<
      RouteTable,
      'routeByDatabase' | 'limitsByGroup' | 'tenants'
    > & {
      routes: [string, WrittenRoute][];
      limits: [string, never][];
      tenants: readonly TenantWithCredentials[];
    };
    return {
      version: fields.version,
      transactionIdleMs: fields.transactionIdleMs,
      routeByDatabase: new Map(
        fields.routes.map(([database, route]) => [database, this.readRoute(route)]),
      ),
      limitsByGroup: new Map(fields.limits),
      tenants: new TenantDirectory(fields.tenants),
    };
  }

  private readRoute(route: WrittenRoute): Route {
    const allowedRegions =
      this.readsHomes && route.allowedRegions ? new Set(route.allowedRegions) : undefined;
    return { ...route, allowedRegions };
  }
}
