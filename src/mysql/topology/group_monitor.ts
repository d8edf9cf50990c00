/** Keeps the description of one group current by probing its instances. */
import type { BackendConnection, BackendConnector } from '../backend/backend.js';
import type { GroupConfiguration } from '../configuration/configuration.js';
import type { Clock } from '../../runtime/runtime.js';
import {
  type GroupDescription,
  initialDescription,
  withFailure,
  withLeaving,
  withReport,
} from './group_description.js';
import { InstanceProber, type ProberOptions } from './instance_prober.js';
import type { InstanceReport } from './instance_report.js';

/** Probing while a group has a primary and while it has none, in milliseconds. */
export interface MonitorOptions extends ProberOptions {
  /** Pause between probes while no trusted primary is known. */
  readonly urgentIntervalMs: number;
  /** Whether an instance's own word that it is leaving counts. Off only in the lab. */
  readonly honoursLeaving: boolean;
}

/** Defaults for networks with round trips of a few milliseconds. */
export const DEFAULT_MONITOR_OPTIONS: MonitorOptions = {
  intervalMs: 50,
  urgentIntervalMs: 10,
  timeoutMs: 250,
  abandonMs: 3000,
  reconnectMs: 50,
  honoursLeaving: true,
};

/** Hears of connections and changes. */
export interface MonitorListener {
  onChange(next: GroupDescription, previous: GroupDescription): void;
  onConnected(address: string, connection: BackendConnection): void;
  onDisconnected(address: string): void;
}

/** Monitor of one group. */
export class GroupMonitor {
  private description: GroupDescription;
  private readonly probers: ReadonlyMap<string, InstanceProber>;
  private readonly listeners = new Set<(group: GroupDescription) => void>();

  constructor(
    configuration: GroupConfiguration,
    clock: Clock,
    connector: BackendConnector,
    private readonly options: MonitorOptions,
    private readonly listener: MonitorListener,
  ) {
    this.description = initialDescription(configuration);
    const probeListener = {
      onReport: (address: string, report: InstanceReport) => {
        const isLeaving = report.isLeaving && options.honoursLeaving;
        this.replace(withReport(this.description, address, { ...report, isLeaving }));
      },
      onFailure: (address: string) => this.replace(withFailure(this.description, address)),
      onConnected: (address: string, connection: BackendConnection) =>
        listener.onConnected(address, connection),
      onDisconnected: (address: string) => listener.onDisconnected(address),
    };
    this.probers = new Map(
      configuration.instances.map(({ address }) => [
        address,
        new InstanceProber(address, clock, connector, options, probeListener),
      ]),
    );
  }

  /** Starts probing. */
  start(): void {
    for (const prober of this.probers.values()) prober.start();
  }

  /** Stops probing. */
  stop(): void {
    for (const prober of this.probers.values()) prober.stop();
    this.listeners.clear();
  }

  /** The group as last seen. */
  get group(): GroupDescription {
    return this.description;
  }

  /** Probers of all instances. */
  get allProbers(): readonly InstanceProber[] {
    return [...this.probers.values()];
  }

  /** Prober of one instance. */
  prober(address: string): InstanceProber | undefined {
    return this.probers.get(address);
  }

  /** Sets which instances take no new work. */
  setLeaving(leaving: ReadonlySet<string>): void {
    this.replace(withLeaving(this.description, leaving));
  }

  /** Calls `listener` on each change until the returned function is called. */
  subscribe(listener: (group: GroupDescription) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private replace(next: GroupDescription): void {
    const previous = this.description;
    this.description = next;
    const interval = next.primary ? this.options.intervalMs : this.options.urgentIntervalMs;
    for (const prober of this.probers.values()) prober.setInterval(interval);
    this.listener.onChange(next, previous);
    for (const listener of [...this.listeners]) listener(next);
  }
}
