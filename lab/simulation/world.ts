/** A whole simulated deployment: instances, control machines, proxies, platform and network. */
import type { GatewayOptions } from '../../src/mysql/gateway/group_gateway.js';
import type { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { hostOf } from '../../src/runtime/address.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import type { Deployment } from '../fleet/deployment.js';
import { type Layout, layoutOf } from '../fleet/layout.js';
import { HistoryRecorder } from '../history/history.js';
import { Scheduler } from './scheduler.js';
import {
  SimulatedControl,
  SimulatedInstance,
  SimulatedPlatform,
  SimulatedProxy,
  type Surroundings,
} from './simulated_nodes.js';
import type { SimulatedMachine } from './simulated_machine.js';
import { VirtualCallerConnector } from './virtual_frontend.js';
import { AddressBook, VirtualMessenger } from './virtual_messenger.js';
import { CALLERS_HOST, VirtualNetwork } from './virtual_network.js';
import { VirtualProcess } from './virtual_process.js';

/** What a world is made of. */
export interface WorldOptions {
  readonly seed: number;
  readonly deployment: Deployment;
  readonly protections: ProtectionSet;
  /** Usual replication lag, in milliseconds. */
  readonly lagMs: number;
  /** Shortest silence of a primary before an election, in milliseconds. */
  readonly electionTimeoutMs: number;
  readonly gateway?: Partial<GatewayOptions>;
  /** Time that a statement holds its slot, in milliseconds; 1 when undefined. */
  readonly statementMs?: number;
}

/** Mean of the random part of each network delay, in milliseconds. */
const JITTER_MS = 0.3;
const PLATFORM_LAG_MS = 2000;
const LAYOUT_NETWORK = 1;

/** Gateway options that make slow statements matter within a short simulation. */
const SIMULATED_GATEWAY: Partial<GatewayOptions> = {
  statementTimeoutMs: 1500,
  queueTimeoutMs: 1000,
};

/** One simulated deployment. */
export class World {
  readonly scheduler = new Scheduler();
  readonly history = new HistoryRecorder();
  readonly random: SeededRandom;
  readonly network: VirtualNetwork;
  readonly addresses = new AddressBook();
  readonly layout: Layout;
  readonly instances: readonly SimulatedInstance[];
  readonly controls: readonly SimulatedControl[];
  readonly proxies: readonly SimulatedProxy[];
  readonly platform: SimulatedPlatform;
  /** Whether a fault under way will lose a control machine's disk: a second one would be a majority. */
  controlDiskAtRisk = false;
  /** Process of all callers and operators; faults never touch it. Its clock is that of the history. */
  readonly outside: VirtualProcess;

  constructor(readonly options: WorldOptions) {
    const { deployment } = options;
    this.random = new SeededRandom(options.seed);
    this.network = new VirtualNetwork(this.scheduler, this.random, {
      hostMs: deployment.networkMs,
      callerMs: deployment.callerMs,
      jitterMs: JITTER_MS,
    });
    this.layout = layoutOf(deployment, LAYOUT_NETWORK);
    this.outside = new VirtualProcess(CALLERS_HOST, this.scheduler, this.random, 0);
    this.platform = new SimulatedPlatform(
      this.scheduler,
      this.network,
      hostOf(this.layout.platform),
      PLATFORM_LAG_MS,
    );
    const surroundings: Surroundings = {
      scheduler: this.scheduler,
      network: this.network,
      addresses: this.addresses,
      random: this.random,
      history: this.history,
      protections: options.protections,
      deployment,
      gateway: { ...SIMULATED_GATEWAY, ...options.gateway },
      endpointAt: (address) => this.instanceAt(address)?.endpoint,
    };
    this.instances = this.createInstances(surroundings);
    const controls = this.layout.controls.map((control) => control.internal);
    this.controls = this.layout.controls.map(
      (place) =>
        new SimulatedControl(place, controls, surroundings, (host) =>
          this.platform.sourceFor(host),
        ),
    );
    this.proxies = this.layout.proxies.map(
      (place) => new SimulatedProxy(place, controls, surroundings),
    );
  }

  /** Every machine. */
  get machines(): readonly SimulatedMachine<Surroundings>[] {
    return [...this.instances, ...this.controls, ...this.proxies];
  }

  /** Starts every machine. */
  start(): void {
    for (const machine of this.machines) machine.start();
  }

  /** Lets virtual time pass, in milliseconds. */
  run(durationMs: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + durationMs);
  }

  /** Lets virtual time pass until the condition holds; false when it does not in time. */
  async runUntil(condition: () => boolean, maximumMs: number): Promise<boolean> {
    const deadline = this.scheduler.now + maximumMs;
    while (!condition()) {
      if (this.scheduler.now >= deadline) return false;
      await this.run(POLL_MS);
    }
    return true;
  }

  /** Lets virtual time pass until a promise is settled; undefined when it is not in time. */
  async runUntilSettled<T>(promise: Promise<T>, maximumMs: number): Promise<T | undefined> {
    let result: { value: T } | undefined;
    let failure: { error: unknown } | undefined;
    promise.then(
      (value) => {
        result = { value };
      },
      (error: unknown) => {
        failure = { error };
      },
    );
    await this.runUntil(() => result !== undefined || failure !== undefined, maximumMs);
    if (failure) throw failure.error;
    return result?.value;
  }

  /** Instance at a MySQL address. */
  instanceAt(address: string): SimulatedInstance | undefined {
    return this.instances.find((instance) => instance.name === address);
  }

  /** Instances of a group. */
  instancesOf(group: string): readonly SimulatedInstance[] {
    return this.instances.filter((instance) => instance.place.group === group);
  }

  /** The writable instance of a group at its highest term. */
  primaryOf(group: string): SimulatedInstance | undefined {
    const writable = this.instancesOf(group).filter((item) => item.instance?.member.isWritable);
    const termOf = (item: SimulatedInstance): number => item.instance?.member.term ?? 0;
    return [...writable].sort((left, right) => termOf(right) - termOf(left))[0];
  }

  /** Connections of callers. */
  callerConnector(): VirtualCallerConnector {
    const names = this.proxies.map((proxy) => proxy.name);
    return new VirtualCallerConnector(
      this.network,
      this.outside,
      names,
      (name) => this.proxies.find((proxy) => proxy.name === name)?.listener,
    );
  }

  /** Messenger of operators. */
  operatorMessenger(): VirtualMessenger {
    return new VirtualMessenger(this.network, this.addresses, this.outside, `${CALLERS_HOST}:1`);
  }

  /** Hosts of everything in a zone. */
  hostsIn(zone: string): readonly string[] {
    return this.placesByHost()
      .filter((place) => place.zone === zone)
      .map((place) => place.host);
  }

  /** Hosts of everything outside a zone, callers not included. */
  hostsOutside(zone: string): readonly string[] {
    return this.placesByHost()
      .filter((place) => place.zone !== zone)
      .map((place) => place.host);
  }

  private placesByHost(): readonly { readonly host: string; readonly zone: string }[] {
    const members = [...this.instances, ...this.controls, ...this.proxies];
    return members.map((machine) => ({ host: machine.host, zone: machine.place.zone }));
  }

  private createInstances(surroundings: Surroundings): SimulatedInstance[] {
    const { lagMs, electionTimeoutMs, statementMs = 1 } = this.options;
    const timing = { lagMs, electionTimeoutMs, statementMs };
    return this.layout.instances.map((place) => {
      const members = this.layout.instances
        .filter((other) => other.group === place.group)
        .map((other) => other.member);
      return new SimulatedInstance(place, members, surroundings, timing);
    });
  }
}

const POLL_MS = 10;
