/** A whole simulated deployment whose primaries are appointed. */
import { documentOf, inflateSource } from '../../src/appointed/catalog/document_source.js';
import { PEER_CONNECT_TIMEOUT_MS } from '../../src/daemon/managed_process.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import type { GroupLimits, ReadPolicy } from '../../src/appointed/catalog/route_table.js';
import { hostOf } from '../../src/runtime/address.js';
import { delay } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { Scheduler } from '../simulation/scheduler.js';
import { AddressBook } from '../simulation/virtual_messenger.js';
import { CALLERS_HOST, VirtualNetwork } from '../simulation/virtual_network.js';
import { VirtualProcess } from '../simulation/virtual_process.js';
import type { AppointedDeployment } from './appointed_deployment.js';
import { AppointedJudge } from './appointed_judge.js';
import {
  type AppointedSurroundings,
  SimulatedCoordinator,
  SimulatedDocumentReader,
  type WrittenRoute,
  type SimulatedLogLine,
  SimulatedRouter,
} from './appointed_nodes.js';
import type { AppointedProtection } from './disabled_protections.js';
import { EmulatedGroup, type InstanceMachine } from './emulated_group.js';
import {
  DEFAULT_PLACEMENT_RULES,
  type PlacementRules,
} from '../../src/appointed/placement/placement_rules.js';
import { SimulatedPlatform } from './simulated_platform.js';
import { SimulatedTenancy } from './simulated_tenancy.js';
import { SHAPE_NAMING, SHARED_NAMING, type PreparedNaming } from './prepared_names.js';
import { VirtualInstanceConnector } from './virtual_instances.js';

const { CatalogOutcome, InstanceRole, InstanceState } = whinyoke;

const MAXIMUM_SEED = 2 ** 31 - 1;
const JITTER_MS = 0.3;
const SEEDS = 3;
const VOTERS = 3;
const ZONES = 3;
const BEAT_MS = 1200;
/** Pause of the operator between two calls, in milliseconds. */
const ORDER_PAUSE_MS = 200;
const SUBMISSIONS = 20;
const SUBMISSION_TIMEOUT_MS = 500;
const TRANSACTION_IDLE_MS = 3000;
const STATEMENT_TIMEOUT_MS = 800;
const TARGET_LATENCY_MS = 200;

/** Staleness bound of bounded routes, in milliseconds. */
export const BOUNDED_STALENESS_MS = 1500;
/** Staleness bound of routes that see their own writes, in milliseconds. */
export const OWN_STALENESS_MS = 2500;

/** Policies of the simulation's routes. */
export const POLICIES: readonly ReadPolicy[] = [
  { kind: 'primary' },
  { kind: 'boundedStaleness', maximumStalenessMs: BOUNDED_STALENESS_MS },
  { kind: 'ownWrites', maximumStalenessMs: OWN_STALENESS_MS },
];

/** Name of the database with a policy in a group. */
export function databaseOf(group: string, policy: ReadPolicy): string {
  return `${group}-${policy.kind}`;
}

function placementRulesOf({ residency, slowStart }: AppointedDeployment): PlacementRules {
  const { regionByZone } = residency ?? DEFAULT_PLACEMENT_RULES;
  return { ...DEFAULT_PLACEMENT_RULES, ...slowStart, regionByZone };
}

/** A start of an instance. */
interface InstanceStart {
  readonly instance: InstanceMachine['current'];
  readonly at: number;
  readonly isFirst: boolean;
  /** Whether it has told that it is warm. */
  isWarm: boolean;
}

/** One simulated deployment. */
export class AppointedWorld {
  readonly scheduler = new Scheduler();
  readonly random: SeededRandom;
  readonly network: VirtualNetwork;
  readonly judge: AppointedJudge;
  readonly groups: readonly EmulatedGroup[];
  readonly platform: SimulatedPlatform;
  readonly coordinators: readonly SimulatedCoordinator[];
  readonly routers: readonly SimulatedRouter[];
  readonly lines: SimulatedLogLine[] = [];
  /** Process of callers, operators and the platform; faults never touch it. */
  readonly outside: VirtualProcess;
  private acknowledgedVersion = 0;
  /** Tenants and their present credentials; undefined where callers need none. */
  readonly tenancy: SimulatedTenancy | undefined;
  /** Zones that the operator evacuates, until the end of that is acknowledged. */
  readonly orderedZones = new Set<string>();
  /** Slow start that the next document gives all groups. */
  slowStart: AppointedDeployment['slowStart'];
  /** Groups of routes that have moved, by database. */
  private readonly movedRoutes = new Map<string, string>();
  /** Names of prepared statements on connections to instances. */
  private readonly naming: PreparedNaming;
  private addedInstances = 0;
  /** Newest start of each instance that sent a heartbeat. */
  private readonly starts = new Map<string, InstanceStart>();
  private nextVersion = 1;
  private nextSequence = 1;

  constructor(
    readonly deployment: AppointedDeployment,
    seed: number,
    disabled: ReadonlySet<AppointedProtection> = new Set(),
  ) {
    this.random = new SeededRandom(seed);
    this.network = new VirtualNetwork(this.scheduler, this.random, {
      hostMs: deployment.networkMs,
      callerMs: deployment.callerMs,
      jitterMs: JITTER_MS,
    });
    this.judge = new AppointedJudge(() => this.scheduler.now);
    this.tenancy = deployment.tenancy && new SimulatedTenancy(deployment.tenancy);
    this.judge.tenancy = this.tenancy;
    this.judge.residency = deployment.residency;
    this.slowStart = deployment.slowStart;
    this.judge.slowStart = deployment.slowStart;
    this.judge.isCold = (instance) => this.isKnownCold(instance);
    this.outside = new VirtualProcess(CALLERS_HOST, this.scheduler, this.random, 0);
    this.naming = disabled.has('prepared-names') ? SHAPE_NAMING : SHARED_NAMING;
    this.groups = this.createGroups();
    this.platform = new SimulatedPlatform(this);
    const controlAddresses = Array.from(
      { length: deployment.controls },
      (_, index) => `10.8.0.${index + 1}:7000`,
    );
    const surroundings: AppointedSurroundings = {
      scheduler: this.scheduler,
      network: this.network,
      addresses: new AddressBook(),
      random: this.random,
      seeds: controlAddresses.slice(0, SEEDS),
      reader: new SimulatedDocumentReader(!disabled.has('homes')),
      lines: this.lines,
      disabled,
      tenancy: deployment.tenancy,
      placementRules: placementRulesOf(deployment),
      connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
      channelsFor: (process) =>
        new VirtualInstanceConnector(
          process,
          this.network,
          (address) => this.machineAt(address)?.running,
        ),
      appointerFor: (process) => this.platform.appointerFor(process),
    };
    this.coordinators = controlAddresses.map(
      (address, index) =>
        new SimulatedCoordinator(`control-${index + 1}`, address, VOTERS, surroundings),
    );
    this.routers = Array.from({ length: deployment.proxies }, (_, index) => {
      const zone = `zone-${index % ZONES}`;
      return new SimulatedRouter(
        `proxy-${index + 1}`,
        `10.7.0.${index + 1}:7001`,
        zone,
        surroundings,
      );
    });
  }

  /** Starts everything and waits until all groups can be written. */
  async start(): Promise<void> {
    for (const group of this.groups) group.start();
    for (const machine of [...this.coordinators, ...this.routers]) machine.start();
    for (const { machine } of this.instanceMachines()) this.beat(machine);
    await this.run(1500);
    await this.applyDocument();
    await this.run(3000);
  }

  /** Lets virtual time pass, in milliseconds. */
  run(durationMs: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + durationMs);
  }

  /** All machines with instances. */
  instanceMachines(): { group: EmulatedGroup; machine: InstanceMachine }[] {
    return this.groups.flatMap((group) => group.machines.map((machine) => ({ group, machine })));
  }

  /** Sends the next version of the routing document to a control machine; not awaited by virtual time. */
  submitDocument(): Promise<boolean> {
    const version = this.nextVersion++;
    const tenants = this.tenancy?.grants ?? [];
    const source = JSON.stringify({ ...this.routeFields(version), tenants });
    this.tenancy?.noteSent(version);
    return this.callControl({ putDocument: documentOf(version, source) }).then((reply) => {
      const isDone = reply?.outcome === CatalogOutcome.DONE;
      if (isDone) this.noteAcknowledged(version);
      return isDone;
    });
  }

  /** Sends new versions until one is acknowledged. */
  async submitUntilTaken(): Promise<void> {
    const { clock } = this.outside;
    for (let attempt = 0; attempt < SUBMISSIONS; attempt++) {
      const isTaken = await Promise.race([
        this.submitDocument(),
        delay(clock, SUBMISSION_TIMEOUT_MS).then(() => false),
      ]);
      if (isTaken) return;
    }
  }

  /** Zones of the instances. */
  get zones(): readonly string[] {
    return [...new Set(this.instanceMachines().map(({ machine }) => machine.site.options.zone))];
  }

  /** Evacuates a zone; resolves when that is acknowledged, or was sent often in vain. */
  async evacuate(zone: string): Promise<void> {
    this.orderedZones.add(zone);
    if (await this.orderUntilTaken({ zone, begins: true })) this.judge.onEvacuated(zone);
  }

  /** Takes the evacuation of a zone back. */
  async finishEvacuation(zone: string): Promise<void> {
    this.judge.onReadmitted(zone);
    if (await this.orderUntilTaken({ zone, begins: false })) this.orderedZones.delete(zone);
  }

  private async orderUntilTaken(evacuation: whinyoke.IEvacuationOrder): Promise<boolean> {
    const { clock } = this.outside;
    for (let attempt = 0; attempt < SUBMISSIONS; attempt++) {
      const reply = await Promise.race([
        this.callControl({ evacuation }),
        delay(clock, SUBMISSION_TIMEOUT_MS),
      ]);
      if (reply && reply.outcome === CatalogOutcome.DONE) return true;
      await delay(clock, ORDER_PAUSE_MS);
    }
    return false;
  }

  private noteAcknowledged(version: number): void {
    this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version);
    this.tenancy?.noteAcknowledged(version, this.scheduler.now);
  }

  /** Reads the newest document back and checks it against what was acknowledged. */
  readDocument(): Promise<number | undefined> {
    const expected = this.acknowledgedVersion;
    return this.callControl({ readDocument: true }).then((reply) => {
      if (reply?.outcome !== CatalogOutcome.DONE || !reply.document) return undefined;
      const { version } = JSON.parse(inflateSource(reply.document)) as { version: number };
      if (version < expected) {
        this.judge.add('configuration', `read ${version}, acknowledged ${expected}`);
      }
      return version;
    });
  }

  /** Lets an instance announce that it leaves; resolves once that is acknowledged. */
  async announceLeaving(machine: InstanceMachine): Promise<boolean> {
    const instance = machine.running;
    if (!instance) return false;
    instance.isLeaving = true;
    const reply = await this.callControl({ beat: this.beatOf(machine) });
    const isDone = reply?.outcome === CatalogOutcome.DONE;
    if (isDone && instance.isLeaving) this.judge.onLeaving(instance.options.id);
    return isDone;
  }

  /** Deregisters an instance, which sends no more heartbeats and serves on; resolves once that is acknowledged. */
  async deregister(machine: InstanceMachine): Promise<void> {
    const { id } = machine.site.options;
    const { born } = machine.storage;
    machine.hasDeregistered = true;
    for (let attempt = 0; attempt < SUBMISSIONS; attempt++) {
      const reply = await Promise.race([
        this.callControl({ beat: { instance: { id, born }, leaves: true } }),
        delay(this.outside.clock, SUBMISSION_TIMEOUT_MS),
      ]);
      if (reply && reply.outcome === CatalogOutcome.DONE) {
        this.judge.onLeaving(id);
        return;
      }
    }
  }

  /** Starts another replica of a group, with an identifier and an address of its own. */
  addInstance(group: EmulatedGroup): void {
    const number = ++this.addedInstances;
    const { options } = group.machines[0]!.site;
    const zone = `zone-${number % ZONES}`;
    const site = {
      host: `10.9.100.${number}`,
      options: { ...options, id: `${group.name}-added-${number}`, zone },
    };
    this.beat(group.add(site));
  }

  /** Lets the next documents lead a database to a group. */
  moveRoute(database: string, group: string): void {
    this.movedRoutes.set(database, group);
  }

  private async applyDocument(): Promise<void> {
    let isDone = false;
    for (let attempt = 0; attempt < 20 && !isDone; attempt++) {
      void this.submitDocument().then((result) => {
        isDone ||= result;
      });
      await this.run(300);
    }
  }

  private routeFields(version: number): object {
    const routes: [string, WrittenRoute][] = this.groups.flatMap(({ name }) =>
      POLICIES.map((policy): [string, WrittenRoute] => {
        const database = databaseOf(name, policy);
        const group = this.movedRoutes.get(database) ?? name;
        const { residency } = this.deployment;
        const allowedRegions = residency?.group === group ? [...residency.homes] : undefined;
        const route: WrittenRoute = {
          allowedRegions,
          name: database,
          database,
          group,
          policy,
          timeoutMs: STATEMENT_TIMEOUT_MS,
          targetLatencyMs: TARGET_LATENCY_MS,
          priority: policy.kind === 'primary' ? 0 : 1,
          isPublic: this.tenancy === undefined,
        };
        return [database, route];
      }),
    );
    const { slowStart } = this;
    const { connectionLimit } = this.deployment;
    const limits = this.groups.map(({ name: group }): [string, GroupLimits] => [
      group,
      { group, connectionLimit, slowStart },
    ]);
    return { version, transactionIdleMs: TRANSACTION_IDLE_MS, routes, limits };
  }

  private createGroups(): EmulatedGroup[] {
    const { groups, instances, slots, connectionLimit, workMs, tellsBorn } = this.deployment;
    const newRandom = (): SeededRandom => new SeededRandom(this.random.integer(0, MAXIMUM_SEED));
    return Array.from({ length: groups }, (_, groupIndex) => {
      const name = `group-${groupIndex + 1}`;
      const sites = Array.from({ length: instances }, (_, index) => ({
        host: `10.9.${groupIndex + 1}.${index + 1}`,
        options: {
          id: `i-${groupIndex + 1}-${index + 1}`,
          group: name,
          zone: `zone-${index % ZONES}`,
          slots,
          connectionLimit,
          workMs,
          naming: this.naming,
        },
      }));
      const { scheduler, network, judge } = this;
      const isTold = tellsBorn ?? false;
      return new EmulatedGroup(name, sites, scheduler, network, judge, newRandom, isTold);
    });
  }

  private machineAt(address: string): InstanceMachine | undefined {
    const host = hostOf(address);
    return this.instanceMachines().find(({ machine }) => machine.site.host === host)?.machine;
  }

  // ---- heartbeats and operators ----

  private beatOf(machine: InstanceMachine): whinyoke.IInstanceBeat {
    const { options, host } = machine.site;
    const warmupMs = this.warmupLeft(machine);
    const instance = machine.running;
    return {
      instance: {
        id: options.id,
        group: options.group,
        address: `${host}:5000`,
        zone: options.zone,
        slots: options.slots,
        state: instance?.isLeaving === true ? InstanceState.DRAINING : InstanceState.READY,
        sequence: this.deployment.tellsBorn ? ++machine.beats : this.nextSequence++,
        born: machine.storage.born,
      },
      role: machine.storage.role === 'primary' ? InstanceRole.PRIMARY : InstanceRole.REPLICA,
      warmupMs,
    };
  }

  /** Warm-up that an instance tells now: it begins anew with each start. */
  private warmupLeft({ site, current }: InstanceMachine): number {
    const { warmupMs = 0 } = this.deployment.slowStart ?? {};
    const { now } = this.scheduler;
    const known = this.starts.get(site.options.id);
    const isSame = known?.instance === current;
    const start = isSame ? known! : { instance: current, at: now, isFirst: !known, isWarm: false };
    this.starts.set(site.options.id, start);
    start.isWarm ||= now - start.at >= warmupMs;
    return start.isWarm ? 0 : Math.ceil(warmupMs - (now - start.at));
  }

  /** Whether an instance is cold and all proxies know it: at its first start they knew nothing of it before. */
  private isKnownCold(instance: string): boolean {
    const start = this.starts.get(instance);
    if (!start || start.isWarm) return false;
    if (start.isFirst) return true;
    const entries = this.coordinators.flatMap(
      ({ running }) => running?.catalog.instance(instance) ?? [],
    );
    const since = Math.max(...entries.map(({ coldSince }) => coldSince ?? 0));
    const versions = this.routers.flatMap(({ running }) => running?.core.knownVersion ?? []);
    return since > 0 && versions.every((version) => version === 0 || version >= since);
  }

  private beat(machine: InstanceMachine): void {
    if (machine.hasDeregistered) return;
    if (machine.running?.process.running) {
      void this.callControl({ beat: this.beatOf(machine) }, machine.site.host);
    }
    this.scheduler.schedule(BEAT_MS, () => this.beat(machine));
  }

  /** A call from outside to one running control machine that can be reached. */
  private callControl(
    request: whinyoke.ICatalogRequest,
    from = CALLERS_HOST,
  ): Promise<whinyoke.ICatalogReply | undefined> {
    const reachable = this.coordinators.filter(
      (control) => control.running && !this.network.isCut(from, control.host),
    );
    const control = reachable[this.random.integer(0, Math.max(0, reachable.length - 1))];
    const core = control?.running;
    if (!control || !core) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const { network, scheduler } = this;
      scheduler.schedule(network.delay(from, control.host), () => {
        void core.submit(request).then((reply) => {
          if (control.running !== core || network.isCut(control.host, from))
            return resolve(undefined);
          scheduler.schedule(network.delay(control.host, from), () => resolve(reply));
        });
      });
    });
  }
}
