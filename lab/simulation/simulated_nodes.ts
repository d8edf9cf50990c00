/** Simulated machines: each runs the daemons' own core objects on the virtual runtime. */
import { ControlCore, type ControlOptions } from '../../src/mysql/control/control_core.js';
import type { PlatformMachine, PlatformSource } from '../../src/mysql/control/platform_watcher.js';
import type { GatewayOptions } from '../../src/mysql/gateway/group_gateway.js';
import type { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { stopGracefully } from '../../src/mysql/proxy/graceful_stop.js';
import { ProxyCore } from '../../src/mysql/proxy/proxy_core.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { DatabaseInstance } from '../database/instance.js';
import { takesSlot } from '../database/instance_session.js';
import type { Deployment } from '../fleet/deployment.js';
import type { DaemonPlace, InstancePlace } from '../fleet/layout.js';
import type { HistoryRecorder } from '../history/history.js';
import type { Scheduler } from './scheduler.js';
import { type InstanceEndpoint, VirtualBackendConnector } from './virtual_backend.js';
import { type MachineSurroundings, SimulatedMachine } from './simulated_machine.js';
import { VirtualListener } from './virtual_frontend.js';
import type { VirtualNetwork } from './virtual_network.js';
import { VirtualProcess } from './virtual_process.js';

/** What all simulated machines share. */
export interface Surroundings extends MachineSurroundings {
  readonly history: HistoryRecorder;
  readonly protections: ProtectionSet;
  readonly deployment: Deployment;
  readonly gateway: Partial<GatewayOptions>;
  /** Instance that listens at an address. */
  readonly endpointAt: (address: string) => InstanceEndpoint | undefined;
}

/** Timing of simulated instances, in milliseconds. */
export interface InstanceTiming {
  readonly electionTimeoutMs: number;
  /** Usual replication lag. */
  readonly lagMs: number;
  readonly statementMs: number;
}

/** A database instance. */
export class SimulatedInstance extends SimulatedMachine<Surroundings> {
  private current: DatabaseInstance | undefined;
  private isLeaving = false;
  private lagMs = 0;

  constructor(
    readonly place: InstancePlace,
    private readonly members: readonly string[],
    surroundings: Surroundings,
    private readonly timing: InstanceTiming,
  ) {
    super(place.mysql, place.member, surroundings);
    this.lagMs = timing.lagMs;
  }

  /** The running instance. */
  get instance(): DatabaseInstance | undefined {
    return this.isUp ? this.current : undefined;
  }

  /** The running instance as connections reach it. */
  get endpoint(): InstanceEndpoint | undefined {
    const instance = this.instance;
    const process = this.process;
    if (!instance || !process) return undefined;
    return {
      process,
      instance,
      onStatement: (sql, sentAt, session) => {
        const isNewWork = !session.isInTransaction && takesSlot(sql);
        if (this.isLeaving && isNewWork) this.recordWork(sentAt);
      },
    };
  }

  /** Sets the replication lag, in milliseconds; undefined sets the usual one. */
  setLag(lagMs: number | undefined): void {
    this.lagMs = lagMs ?? this.timing.lagMs;
    if (this.current) this.current.member.replicationLagMs = this.lagMs;
  }

  /** Lets the instance announce that it takes no new work, or takes that back. */
  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
    this.current?.setLeaving(isLeaving);
    const { history, scheduler } = this.surroundings;
    history.add({ type: 'leaving', at: scheduler.now, instance: this.name, isLeaving });
  }

  /** Records the highest use of the instance's resources so far. */
  recordUsage(): void {
    const { history, scheduler, deployment } = this.surroundings;
    const usage = this.instance?.usage;
    if (!usage) return;
    history.add({
      type: 'usage',
      at: scheduler.now,
      instance: this.name,
      highestRunning: usage.highestRunning,
      slots: deployment.slots,
      highestConnections: usage.highestConnections,
      connections: deployment.connections,
      refusedStatements: usage.refusedStatements,
    });
  }

  protected launch(_process: VirtualProcess, runtime: Runtime, lostDisk: boolean): void {
    const { deployment, history, scheduler } = this.surroundings;
    const { group, member } = this.place;
    const instance = new DatabaseInstance(
      runtime,
      runtime.folder,
      {
        group: {
          address: member,
          members: this.members,
          heartbeatMs: this.timing.electionTimeoutMs / 6,
          electionTimeoutMs: this.timing.electionTimeoutMs,
        },
        slots: deployment.slots,
        connections: deployment.connections,
        connectMs: deployment.connectMs,
        statementMs: this.timing.statementMs,
        lockWaitMs: 500,
      },
      {
        onRole: (role, term) => {
          if (role !== 'primary') return;
          history.add({ type: 'elected', at: scheduler.now, group, term, instance: this.name });
        },
      },
    );
    instance.member.replicationLagMs = this.lagMs;
    this.current = instance;
    void instance.start(lostDisk).then(() => {
      if (this.isLeaving) instance.setLeaving(true);
    });
  }

  protected override beforeKill(): void {
    this.recordUsage();
  }

  private recordWork(sentAt: number): void {
    this.surroundings.history.add({ type: 'work', at: sentAt, instance: this.name });
  }
}

/** A control machine. */
export class SimulatedControl extends SimulatedMachine<Surroundings> {
  private current: ControlCore | undefined;

  constructor(
    readonly place: DaemonPlace,
    private readonly controls: readonly string[],
    surroundings: Surroundings,
    private readonly platform: (host: string) => PlatformSource,
  ) {
    super(place.id, place.internal, surroundings);
  }

  /** The running core. */
  get core(): ControlCore | undefined {
    return this.isUp ? this.current : undefined;
  }

  protected launch(process: VirtualProcess, runtime: Runtime): void {
    const options: ControlOptions = {
      address: this.place.internal,
      controls: this.controls,
      protections: this.surroundings.protections,
      platform: this.platform(this.host),
      raft: { snapshotEntries: 20 },
    };
    this.current = undefined;
    void ControlCore.open(runtime, options)
      .then((core) => {
        if (this.process !== process) return;
        this.current = core;
        return core.start();
      })
      .catch((failure: unknown) => this.endStart(process, failure));
  }
}

const STOP_DEADLINE_MS = 5000;

/** A proxy. */
export class SimulatedProxy extends SimulatedMachine<Surroundings> {
  private current: ProxyCore | undefined;
  private currentListener: VirtualListener | undefined;
  /** Whether a planned stop came to its end. */
  private hasStopped = false;

  constructor(
    readonly place: DaemonPlace,
    private readonly controls: readonly string[],
    surroundings: Surroundings,
  ) {
    super(place.id, place.internal, surroundings);
  }

  /** The running core. */
  get core(): ProxyCore | undefined {
    return this.isUp ? this.current : undefined;
  }

  /** Where callers connect. */
  get listener(): VirtualListener | undefined {
    return this.isUp ? this.currentListener : undefined;
  }

  /** Starts the process, after the end of a planned stop that is under way. */
  startOnceStopped(): void {
    const process = this.process;
    if (!process?.alive) this.start();
    else process.onEnd(() => this.surroundings.scheduler.schedule(0, () => this.start()));
  }

  /** Stops the process the planned way; it ends on its own. */
  stopPlanned(): void {
    const { core, listener, process } = this;
    if (!core || !listener || !process) return;
    const { history, scheduler, protections } = this.surroundings;
    history.add({ type: 'stop', at: scheduler.now, proxy: this.name });
    if (!protections.isOn('graceful-stop')) {
      listener.closeAll();
      process.clock.setTimer(1, () => this.endIfSame(process));
      return;
    }
    void this.finishStop(core, listener, process);
  }

  protected launch(process: VirtualProcess, runtime: Runtime): void {
    const { network, endpointAt, protections, gateway, history, scheduler } = this.surroundings;
    const { id, internal, zone } = this.place;
    const discards = protections.isOn('discard-on-timeout');
    const forgetsAfterMs = discards ? undefined : gateway.statementTimeoutMs;
    const connector = new VirtualBackendConnector(network, process, endpointAt, forgetsAfterMs);
    const core = new ProxyCore(
      runtime,
      connector,
      {
        id,
        address: internal,
        zone,
        controls: this.controls,
        gateway: { ...gateway, protections },
      },
      {
        onConfiguration: (revision) =>
          history.add({ type: 'in_force', at: scheduler.now, proxy: id, revision }),
      },
    );
    this.current = core;
    this.hasStopped = false;
    this.currentListener = new VirtualListener(process, (schema) =>
      core.openSession({ connectionId: 0, user: 'caller', schema, attributes: {} }),
    );
    core.countClients = () => this.currentListener?.connectionCount ?? 0;
    void core.start().catch((failure: unknown) => this.endStart(process, failure));
  }

  private async finishStop(
    core: ProxyCore,
    listener: VirtualListener,
    process: VirtualProcess,
  ): Promise<void> {
    await stopGracefully(core, listener, process.clock, STOP_DEADLINE_MS);
    this.endIfSame(process);
  }

  protected override beforeKill(): void {
    if (this.hasStopped) return;
    const { history, scheduler } = this.surroundings;
    history.add({ type: 'killed', at: scheduler.now, proxy: this.name });
  }

  private endIfSame(process: VirtualProcess): void {
    if (this.process !== process) return;
    this.hasStopped = true;
    this.kill();
  }
}

/** The platform's list of machines, shown late. */
export class SimulatedPlatform {
  private readonly changes: { readonly at: number; readonly machine: PlatformMachine }[] = [];

  constructor(
    private readonly scheduler: Scheduler,
    private readonly network: VirtualNetwork,
    private readonly host: string,
    private readonly lagMs: number,
  ) {}

  /** Changes the state of a machine; the list shows it after the lag. */
  set(address: string, state: PlatformMachine['state']): void {
    this.changes.push({ at: this.scheduler.now, machine: { address, state } });
  }

  /** The list as a machine reads it. */
  sourceFor(host: string): PlatformSource {
    return { list: () => this.list(host) };
  }

  private async list(host: string): Promise<readonly PlatformMachine[]> {
    if (this.network.isCut(host, this.host)) throw new Error('the platform does not answer');
    await new Promise<void>((resolve) => {
      this.scheduler.schedule(this.network.delay(host, this.host) * 2, resolve);
    });
    const shown = new Map<string, PlatformMachine>();
    for (const { at, machine } of this.changes) {
      if (at + this.lagMs <= this.scheduler.now) shown.set(machine.address, machine);
    }
    return [...shown.values()];
  }
}
